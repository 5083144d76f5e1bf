"""Behave hooks: give each scenario its own clock and stop what it started."""

from contextlib import ExitStack


class Clock:
    """A clock that changes only when a step sets it."""

    def __init__(self) -> None:
        self.now = 1000.0

    def __call__(self) -> float:
        return self.now


def before_scenario(context, scenario):
    context.stack = ExitStack()
    context.clock = Clock()


def after_scenario(context, scenario):
    context.stack.close()
