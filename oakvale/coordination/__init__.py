"""Coordination for applications: it owns the rules of locks, counters, keys and watches, and their entries in the
replicated state. It must never reply before what the reply rests on is in force. Begin with `service`.
"""
