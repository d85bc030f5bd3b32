"""Demo: a small complete system on loopback, with one address per machine and a demo backend. It demonstrates the
system and must not serve real traffic. Begin with `show`.
"""
