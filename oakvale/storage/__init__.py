"""Cistern: what outlives a process, one `sqlite3` file, written by a thread of its own in the order it is
told, many writes to a sync. It must decide nothing and knows no network. Begin with `store`.
"""
