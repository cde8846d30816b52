"""Experiments on simulated fleets: workloads, fault injection, comparisons and reports."""
