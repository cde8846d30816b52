"""Fleet-wide coordination: consensus, membership, quotas, placement and policy rollout.

All modules are sans I/O and have no clock: callers pass in the time, send the messages and do the writes.
"""
