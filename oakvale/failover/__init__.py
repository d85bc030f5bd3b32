"""Failover: where the load of a failed location goes. The distribution is computed before anything fails and limits how
much each other location takes. This package has no sockets and no clock and does not select backends: it decides which
locations may be selected from and which requests are refused. Start with `places`, then `chains`, then `spill`.
"""
