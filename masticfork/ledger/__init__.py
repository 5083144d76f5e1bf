"""Facts that must survive any host: claims, bills and leases."""
