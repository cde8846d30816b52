"""The write-back buffer of an edge: writes are answered from memory and flushed to the nodes in batches.

`writeback.WriteBack` is the entry point.  `flush_policy` decides what is flushed when, `buffered_writes`
indexes the writes, `batch_writer` stores a batch on the nodes, and `write_ahead_log` with `recovery` restores
the writes that were not flushed before a crash.
"""
