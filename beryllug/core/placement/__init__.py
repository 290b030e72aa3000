"""Where a request runs: which backend server, and which size of model.

Decided from what is listed of the servers, what this process saw of them, and
which prompts they have probably read before.
"""
