"""The scale run: real core machines and a few real gateways beside many hollow ones, on loopback, at growing sizes, and
the sums that docs/CAPACITY.md is made of. It decides nothing about the system and changes none of its modules on disk.
Begin with `run`.
"""
