"""Client paths, and the layout of files on storage nodes; no I/O."""
