"""Contract hours and drains: when traffic may be moved, what a drain plan contains, which tenant moves next, and how a
gateway follows a move. Pure decisions without clock or I/O, except `client`, which the command line uses. Start with
`planning`, then read `execution` and `moves`.
"""
