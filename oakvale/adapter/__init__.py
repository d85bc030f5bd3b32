"""Adapter: runs many gateway instances in one process, driven by an external simulator over standard input and
output. It decodes events and encodes actions, and must neither make decisions nor open a socket. Begin with `host`.
"""
