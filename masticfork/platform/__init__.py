"""Header names, data formats and object store client of the users' platform."""
