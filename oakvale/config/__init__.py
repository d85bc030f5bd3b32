"""Intake: what a process of the system is told, as it reads and checks the settings file and the operator's
configurations and turns them into plain values and bounds. It must hold no state and talk to nobody. Begin
with `settings`.
"""
