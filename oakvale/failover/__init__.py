"""Failover: where the load of a failed location goes, computed before anything fails, and how much each other location
takes. It must hold no socket or clock and select no backend: it decides which locations may be selected from and which
requests are refused. Begin with `places`, then `chains`, then `spill`.
"""
