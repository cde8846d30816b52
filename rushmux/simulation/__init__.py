"""An event loop with a simulated clock, network and processes."""
