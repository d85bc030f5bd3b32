"""Elections: voters grant the holder of a duty a time-limited lease by majority. It reads no clock and opens no
socket. Start reading at `voting`.
"""
