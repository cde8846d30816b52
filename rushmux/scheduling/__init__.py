"""The scheduler, its interface, and the driver that runs it on an event loop.

Nothing here depends on a wire protocol.  `scheduler.Scheduler` makes the decisions, `interface` defines its
inputs and outputs, and `driver.OperationDriver` connects it to an event loop.
"""
