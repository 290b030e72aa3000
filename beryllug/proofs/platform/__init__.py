"""Tests of the role `router` against stand-ins of the platform.

Each test causes a failure and checks what the caller and the backend servers
observe.
"""
