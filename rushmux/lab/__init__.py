"""Experiments on emulated fleets: simulations, fault injection, workloads, comparisons and reports."""
