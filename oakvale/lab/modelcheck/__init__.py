"""Model checking of the control state's small core, over every order of what can happen to three machines.

It drives `headworks.copying`, `succession` and `ledger` as they are and owns no copy of their decisions; it reads no
clock, socket or file. Begin with `machine`, then `model`.
"""
