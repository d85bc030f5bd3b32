"""Rate limits of the whole system: each tenant is counted by one elected gateway, which the others ask. It must not
let a tenant exceed its quota during any failure. Begin with `quotas`, then `service`.
"""
