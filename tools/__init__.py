"""Developers' tools: the test runner, the local launcher and the demonstration."""
