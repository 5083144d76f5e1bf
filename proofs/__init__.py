"""System tests of the guarantees under failure, run against real processes."""
