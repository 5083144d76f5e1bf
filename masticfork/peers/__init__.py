"""Messages and connections between daemons."""
