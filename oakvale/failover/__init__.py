"""Spillway: where a failed place's load goes, worked out before anything fails, and how much of it each other place
takes. It must never hold a socket or a clock, nor choose a backend: it says which places may be chosen from, and
what is refused. Begin with `places`, then `chains`, then `spill`.
"""
