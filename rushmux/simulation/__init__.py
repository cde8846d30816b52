"""An event loop on a simulated clock, with a network and processes of its own."""
