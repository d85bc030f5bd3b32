"""Headworks: the core role. It keeps the control state (configuration, backends, gateways) on a primary and its
backup, decides by its witnesses who takes over, and answers backends and the operator. It never carries a
client's request. Begin with `succession`, then `process`.
"""
