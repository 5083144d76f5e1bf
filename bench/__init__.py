"""Benchmark tool: load generation and experiments."""
