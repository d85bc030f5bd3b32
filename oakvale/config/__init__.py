"""Reads and checks the settings file and the operators' configuration files, and turns them into plain values and
limits. It must not keep state and must not communicate with other processes. Begin with `settings`.
"""
