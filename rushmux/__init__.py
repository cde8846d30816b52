"""A storage gateway that schedules a host's reads and writes over storage nodes."""
