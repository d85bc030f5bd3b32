"""Messaging between the system's own processes: `cbor2` frames over TCP, with requests, responses and timeouts. It must
not interpret what the messages contain. Begin with `links`.
"""
