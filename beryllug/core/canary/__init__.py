"""Roll-outs of a service's new version, ordered with a time to be done in.

Which requests try the new version, what their answers say of it, and when it
has proved itself or is taken back.
"""
