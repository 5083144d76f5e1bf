"""Records that must survive the loss of any host: claims, bills and leases."""
