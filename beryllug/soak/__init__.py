"""A randomized fault soak of the role `router` over real processes.

A seed draws a series of faults, which may overlap. Callers go on meanwhile,
and what they and the backend servers saw is held against the promises. Faults
come from outside the processes: signals, proxies between them and the other
parties, and the switches of these parties.
"""
