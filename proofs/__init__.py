"""Proofs of what must hold under failure, with real processes."""
