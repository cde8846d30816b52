"""Route policies of the deployment file: which row applies, and whether all keep the rules.

No I/O and no clock.
"""
