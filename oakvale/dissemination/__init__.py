"""Dissemination of control state updates to the data plane, along a tree of relays that the gateways form.

It owns the table of state entries and their delivery, and never decides what the state is. Start with `table`.
"""
