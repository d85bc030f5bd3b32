"""Towpath: contract hours and drains, as decisions on what is told it: when hours are open, what a plan says,
which tenant moves next, what a gateway does about it. It must read no clock and do no I/O (but for `client`, the
command line's side). Begin with `planning`, then `execution` and `moves`.
"""
