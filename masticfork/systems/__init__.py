"""Decisions: systems that run over the tables, without sockets or clocks."""
