"""Wire: what is spoken with clients, backends, the counter and discovery, a coroutine for each connection. It
must decide nothing, and knows its owner only by the small protocol `Owner` in each file. Begin with
`clients`, then `backends`.
"""
