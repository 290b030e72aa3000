"""Records and pure decision functions.

Nothing here opens a socket, reads a clock or starts a task: the current
time is always an argument.
"""
