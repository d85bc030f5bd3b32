"""Sluice: the edge role, which carries clients' requests to backends as the news of the control state allow,
and forms, with the other gateways, the tree of relays and the ring of watchers. It must never change the
control state, nor decide where a request goes beside its lanes. Begin with `gateway`, then `request_router`.
"""
