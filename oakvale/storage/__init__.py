"""Durable state of a process in one `sqlite3` file, written in order by a dedicated thread that batches its syncs. It
must make no decisions and know nothing of the network. Begin with `store`.
"""
