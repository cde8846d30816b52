"""SFTP version 3 on the wire: packets to values and back, no I/O."""
