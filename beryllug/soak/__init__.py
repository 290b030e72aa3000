"""A randomized fault-injection test of the role `router`.

Router processes run under a random series of faults, which may overlap and is
determined by a seed. Callers send requests throughout, and the observations of
callers and backend servers are checked against the guarantees. Faults are
injected from outside the processes: by signals, by proxies between them and
other components, and by the fault switches of the stand-ins.
"""
