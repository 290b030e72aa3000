"""Which route a request takes, who sends it, and what may be done with it.

Decided from the host, the path and the key of a request, by the newest route
table that this process has accepted.
"""
