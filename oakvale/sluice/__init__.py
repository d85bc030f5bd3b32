"""Sluice: the edge role, which carries clients' requests to backends as the news of the control state allow,
and forms, with the other gateways, the tree of relays, the ring of watchers and the juries. It must never
change the control state, nor decide where a request goes beside its lanes. Begin with `process`.
"""
