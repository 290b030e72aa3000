"""What the processes of the role `router` tell one another.

They meet by seeds and by one another's word, compare what they know a few
times a second, and take what is newer. Nothing is decided by a majority: what
must be agreed goes through the platform's store.
"""
