"""Life cycle: the start, the stop and what goes on beside the requests: accepting, signals, reload, shutdown,
log and status lines. It must not look into a request or an attempt. Begin with `serving`.
"""
