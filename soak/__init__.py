"""Randomised soak test: inject faults into real processes and check guarantees."""
