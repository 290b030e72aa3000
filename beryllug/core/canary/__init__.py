"""Canary roll-outs of a service's new version within an ordered time.

Which requests are sent to the new version, how its answers are judged, and
when the version is promoted or rolled back.
"""
