"""Dissemination of control state updates to the data plane, along a tree of relays that the gateways form: it owns the
table of state entries and their delivery. It must never decide what the state is. Begin with `table`.
"""
