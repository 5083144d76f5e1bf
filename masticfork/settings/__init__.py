"""Loaders and checks for settings and manifests."""
