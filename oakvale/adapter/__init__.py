"""Adapter: runs many gateway instances in one process and connects them to an external simulator's protocol.

It decodes events, passes them to the instances and encodes their actions. It makes no decisions of its own and opens
no sockets. Start reading at `host`.
"""
