"""Experiments with the decisions, each against named baselines."""
