"""The load tool for sockets: open-loop arrivals on loopback, and how long each answer took from the moment its request
was due. It must never lead to another machine, nor wait for an answer before the next request is sent. Begin with
`drive`.
"""
