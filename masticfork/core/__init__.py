"""Records and identifiers shared by all packages."""
