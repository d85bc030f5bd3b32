"""Headworks: the core role, which keeps the control state (configuration, backends, gateways) on a primary
and its backup, decides by its witnesses who takes over, and answers backends and the operator. It must never
carry a client's request. Begin with `view_change`, then `process`.
"""
