"""Gauge: the counter of the whole system. Each tenant is counted in one place, a gateway that its peers elected
for that; the quota is a floor settled first, and nothing is lent. Begin with `floors`, then `ballots`.
"""
