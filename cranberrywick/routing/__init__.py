"""The gateway's routing decisions, as modules without input or output.

They open no sockets, read no clock and write no log: callers pass the time as ``now``.
"""
