"""The data plane: the edge role, called `sluice`, forwards clients' requests to backends as the replicated control
state allows, and forms with the other gateways the distribution tree of that state and the ring of failure detectors.
It must never change the control state, nor choose a backend except through the service drivers. Begin with `gateway`,
then `request_router` and `service_driver`.
"""
