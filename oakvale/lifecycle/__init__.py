"""Process lifecycle: startup, accepting connections, signals, reload, shutdown, logging and status lines.

It does not inspect requests or attempts. Start reading at `serving`.
"""
