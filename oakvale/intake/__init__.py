"""Intake: what a process of the system is told. It reads and checks the settings file and the operator's
configurations and turns them into plain values. It holds no state and talks to nobody. Begin with `settings`.
"""
