"""Contract hours and drains: when traffic may be moved, what a plan contains, which tenant moves next, and how a
gateway follows a move. It must read no clock and do no I/O, except `client`, which the command line uses. Begin with
`planning`, then `execution` and `moves`.
"""
