"""Checks the verifier of routes against the real scheduler, in schedules within a deployment's bounds."""
