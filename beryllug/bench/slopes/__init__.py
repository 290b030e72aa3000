"""Measures the slopes in docs/CAPACITY.md: how costs grow with size.

Each module measures one subject at three or more sizes, mostly with several
repeats at each size.
"""
