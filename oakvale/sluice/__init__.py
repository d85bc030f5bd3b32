"""Sluice: the edge role. It carries clients' requests to backends as the news of the control state allow, and
forms, with the other gateways, the tree of relays, the ring of watchers and the juries. Begin with `process`.
"""
