"""Consensus of a lock-step rank group on its expert map.

The quorum is every member, since a lock-step group cannot step without one of
them; no state is kept on disk.
"""
