"""Loading and validation of settings and manifests."""
