"""The write-back buffer of an edge: writes are answered from memory and flushed to the nodes in batches.

`writeback.WriteBack` is the entry point.  `flush_policy` decides what is flushed when, `buffered_writes`
indexes the writes, `batch_writer` carries a batch to the nodes, and `write_ahead_log` with `recovery` brings
back what an earlier run of the edge had not flushed.
"""
