"""Towpath: contract hours and drains, as decisions on what is told it: when hours are open, what a plan says,
which tenant moves next, what a gateway does about it. It must read no clock and do no I/O (but for `call`, the
command line's side). Begin with `planning`, then `course` and `moves`.
"""
