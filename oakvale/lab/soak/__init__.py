"""Soaks: real core machines on loopback addresses under drawn series of signals, with emulated applications on real
sockets and a verdict on what these saw. It must never judge by anything but the callers' own clock and the processes'
exits. Begin with `run`.
"""
