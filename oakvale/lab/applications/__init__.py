"""Emulated applications that use locks, numbers, keys and watches and record what they see. They know the system only
by its HTTP calls. Begin with `crew`.
"""
