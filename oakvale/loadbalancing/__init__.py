"""Load balancing of the whole system: one gateway for each service tracks the load of its backends and advises the
others. It must not send a request itself. Begin with `load_board`, then `board_service`.
"""
