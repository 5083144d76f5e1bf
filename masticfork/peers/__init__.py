"""Authenticated links between entry hosts and the data exchanged over them."""
