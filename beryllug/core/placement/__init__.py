"""Placement of requests: choice of the backend server and of the model size.

Decisions use the list of servers, the observations of this process, and the
prompts that each server has probably processed before.
"""
