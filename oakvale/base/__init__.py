"""Base: the event loop and its timers, limits, addresses and the configuration file of the standalone gateway.

All code that uses sockets builds on it. It makes no routing decisions and knows neither the wire protocols nor the
state that is kept. Start reading at `loop`.
"""
