"""Mains: what the system's own processes say to each other, `cbor2` frames over TCP, with connections,
questions, answers and time-outs. It must know nothing of what is said. Begin with `links`.
"""
