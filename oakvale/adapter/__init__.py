"""Adapter: the same decisions on a simulator's wire, many instances in one process. It decodes, hosts and
encodes, and must neither decide nor open a socket. Begin with `host`.
"""
