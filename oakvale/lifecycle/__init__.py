"""Lifecycle: startup and shutdown of a process, accepting connections, signals, reload, logging and status lines.
It must not inspect requests or attempts. Begin with `serving`.
"""
