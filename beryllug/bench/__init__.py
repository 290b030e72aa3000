"""Benchmarks whose bounds are ratios and counts.

The same seed gives the same figures.
"""
