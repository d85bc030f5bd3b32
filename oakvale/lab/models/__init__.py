"""Backends, clients and an operator as the protocol's pages have them, on the loop's sockets, real or simulated. They
never look into the system's processes, and what they see goes to the record. Begin with `launch`.
"""
