"""The laboratory: a world in which the system's own processes run, and what is played, measured and judged in it.
The roles that are in service never import it, and what it reads of them is what their peers see on sockets. Begin
with `record`.
"""
