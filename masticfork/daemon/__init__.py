"""The daemon: wires every part together and runs the systems each tick."""
