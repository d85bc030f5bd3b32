"""Demo owns a whole small system on loopback, each machine an address of its own, with a stand-in backend. It
must serve no traffic of anybody. Begin with `show`.
"""
