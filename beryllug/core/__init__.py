"""Records and pure deciding functions.

Nothing here opens a socket, reads a clock or starts a task: the present
time is always an argument.
"""
