"""HTTP interface for callers: parsing, routing, dispatch and responses."""
