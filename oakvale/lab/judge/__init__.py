"""Every rule of the system, judged from a record alone, and the worth that was earned of what was owed. Nothing here
does I/O, reads a clock or knows the system's code. Begin with `verdict`.
"""
