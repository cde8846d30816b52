"""The command line: the only place that reads arguments, the wall clock and the machine's entropy."""
