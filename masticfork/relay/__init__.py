"""Forwards requests from callers to backend servers, on one thread."""
