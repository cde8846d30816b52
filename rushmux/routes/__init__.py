"""Route policies of the deployment file: which row applies, and whether all of them keep the rules.

No I/O and no clock.
"""
