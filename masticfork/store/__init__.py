"""Clients of the platform: objects, host list, ratings and weights."""
