"""The core role: it replicates the control state (configuration, backends, gateways) from a primary to its backups,
lets its witnesses elect the primary, and answers backends and the operator. Client requests must never pass through it.
Begin with `view_change`, then `process`.
"""
