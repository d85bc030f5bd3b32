"""Elections: voters grant the holder of a duty a time-limited lease by majority. It must know no clock and no
socket. Begin with `voting`.
"""
