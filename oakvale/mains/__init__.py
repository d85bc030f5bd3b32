"""Mains: what the system's own processes say to each other, `cbor2` frames over TCP. It knows connections,
questions, answers and time-outs; it knows nothing of what is said. Begin with `links`.
"""
