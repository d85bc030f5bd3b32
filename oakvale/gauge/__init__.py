"""Gauge: the counter of the whole system, where each tenant is counted in one place, a gateway that the
core's witnesses elected for that. The quota is a floor settled first, and nothing must be lent. Begin with
`floors`, then `ballots`.
"""
