"""Records, identifiers, deadlines, findings and refusals that all parts share."""
