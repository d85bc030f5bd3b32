"""Demo: a small complete system on loopback, with one address per machine and a demo backend.

It demonstrates the system and is not meant to serve real traffic. Start reading at `show`.
"""
