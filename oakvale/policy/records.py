"""Decision constants that the policy modules share. Units and records are in oakvale/policy_records.py."""

from oakvale.interface import Plan
from oakvale.policy_records import EPOCH_US, SECOND_US

BATCH_INTERVAL_US = 250_000  # the design: global counts go four times a second


def quota_window(plan: Plan) -> int:  # bounded, as the counter rounds small amounts and rejects large ones
    return max(EPOCH_US // 20, int(plan.burst / plan.rate * SECOND_US)) if plan.rate > 0 else SECOND_US
