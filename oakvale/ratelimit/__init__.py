"""Rate limits of the whole system: each tenant is counted by one elected gateway, which the others ask. No request
may pass beyond the quota, whatever fails. Begin with `quotas`, then `service`.
"""
