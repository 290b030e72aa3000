"""Slopes behind docs/CAPACITY.md: what a thing costs as its size grows.

Each module measures one matter at three sizes or more, several times over.
"""
