"""Histories of coordination calls as applications saw them, and the checks of every rule on them. Nothing here does
I/O, reads a clock or knows the system's code. Begin with `verdict`.
"""
