"""Clients of the platform: object store, host list and rating service."""
