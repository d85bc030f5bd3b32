"""A simulated world of machines, wires, disks and clocks, in which the system's own processes run unchanged.
It decides nothing about requests and looks into no process; all that is left to chance comes from one seed. Begin with
`machines`.
"""
