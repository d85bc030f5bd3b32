"""Rate limits of the whole system: each tenant is counted by one elected gateway, which the others ask. The quota
holds through any failure. Start reading at `quotas`, then `service`.
"""
