"""Model checking of the route verifier: runs the real scheduler in schedules within a deployment's bounds."""
