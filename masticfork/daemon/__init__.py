"""The daemon: connects all components and runs the systems in each tick."""
