"""Memory: what a process keeps: buffers and the room of bodies, idle connections, requests in hand, the names
of backends, what was counted. It must not read or write a socket, and knows a connection only by what it can
be told to do. Begin with `requests`.
"""
