"""The control plane: the core role. It replicates the control state (configuration, backends and gateways) from a
primary to its backups, lets its witnesses elect the primary, and answers backends and the operator. Client requests
must never pass through it. Start reading at `view_change`, then `process`.
"""
