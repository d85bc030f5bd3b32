"""Penstock: how news of the control state reaches the data plane, down a tree of relays that the gateways form
among themselves. It owns the table of news and its way; it never decides what is true. Begin with `table`.
"""
