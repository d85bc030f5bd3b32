"""Demo: a whole small system on loopback, each machine an address of its own, with a stand-in backend. It
shows the system at work and must serve no traffic. Begin with `show`.
"""
