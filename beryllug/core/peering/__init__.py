"""Peer-to-peer state exchange between processes of the role `router`.

Processes find one another through seeds and gossip, compare their state a few
times a second, and adopt what is newer. There is no majority vote: whatever
needs agreement goes through the platform's store.
"""
