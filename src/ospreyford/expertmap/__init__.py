"""Agreement of a lock-step rank group on its expert map.

There is no store, no consensus group and no disk: the quorum is every member
of the rank group, because a lock-step group can't step without one of them.
"""
