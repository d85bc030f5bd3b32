"""Load balancing of the whole system: one gateway for each service tracks the load of its backends and advises the
others. It sends no requests itself. Start reading at `load_board`, then `board_service`.
"""
