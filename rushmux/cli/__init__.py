"""The command line: the only code that reads arguments, the wall clock and the system's entropy."""
