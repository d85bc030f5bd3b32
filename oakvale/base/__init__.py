"""Base: the loop and its timers, limits, addresses and the configuration file of the gateway in service,
which all that touches sockets stands on. It must decide nothing and know neither the wire nor what is kept.
Begin with `loop`.
"""
