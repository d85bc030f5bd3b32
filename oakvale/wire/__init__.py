"""Wire: the protocols spoken with clients, backends, the counter and discovery, with one coroutine per connection. It
makes no decisions, and knows its owner only by the small protocol `Owner` in each file. Begin with `clients`, then
`backends`.
"""
