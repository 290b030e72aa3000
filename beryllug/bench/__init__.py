"""Benchmarks with bounds on ratios and counts.

Simulated benchmarks are deterministic for a given seed.
"""
