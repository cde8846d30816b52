"""The adapter that runs schedulers on the simulator's wire protocol."""
