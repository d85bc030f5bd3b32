"""Elections: voters grant the holder of a duty a time-limited lease by majority. It must not read a clock or open a
socket. Begin with `voting`.
"""
