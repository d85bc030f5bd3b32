"""Constants that the policy modules share. The records are in oakvale/policy_records.py."""

from oakvale.interface import Ending, Plan

BATCH_INTERVAL_US = 250_000  # the design: global counts go four times a second
SECOND_US = 1_000_000
EPOCH_US = 30 * SECOND_US  # half the time that the counter keeps a count; then a new name is used
EWMA_WEIGHT = 0.1  # of the newest sample in moving averages: about the last ten answers
REJECTED = (Ending.FULL, Ending.NO_CONNECTION)  # the other side added nothing and did no work
BATCH_TIMER = 0  # timer token of the batch; progress checks of attempts use higher ones


def quota_window(plan: Plan) -> int:  # bounded, as the counter rounds small amounts and rejects large ones
    return max(EPOCH_US // 20, int(plan.burst / plan.rate * SECOND_US)) if plan.rate > 0 else SECOND_US
