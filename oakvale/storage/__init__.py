"""Durable state of a process in one `sqlite3` file, written in order by a dedicated thread that batches its syncs.

It makes no decisions and knows nothing of the network. Start with `store`.
"""
