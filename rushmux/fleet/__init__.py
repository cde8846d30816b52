"""What a fleet decides in common: consensus, membership, quotas, placement and policy rollout.

All of it is sans I/O and has no clock: callers pass the time in and carry messages and writes out.
"""
