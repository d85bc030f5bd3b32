"""Base: the event loop and its timers, sockets, limits, addresses and the configuration file of the standalone
gateway. It must make no routing decisions, and knows neither the wire protocols nor the state that is kept.
Begin with `loop`.
"""
