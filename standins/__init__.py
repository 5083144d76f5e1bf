"""Small programs that stand in for the systems masticfork meets."""
