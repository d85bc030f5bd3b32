"""Coordination for applications: locks with fencing tokens, rising numbers, small keys with revisions, and watches.

It owns the state machines of these resources and the entries in which the replicated state keeps them, but does not
replicate, and knows of the control plane only what `service.py` states as a protocol. Begin with `service.py`.
"""
