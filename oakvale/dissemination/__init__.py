"""Penstock: how news of the control state reaches the data plane, down a tree of relays that the gateways
form among themselves; it owns the table of news and its way. It must never decide what is true. Begin with
`table`.
"""
