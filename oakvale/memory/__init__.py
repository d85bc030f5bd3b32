"""Memory: the in-process state of the gateway: buffers, the memory limit of bodies, idle connections, pending requests,
backend names, counters. It does no socket I/O and knows connections only by protocols. Begin with `requests`.
"""
