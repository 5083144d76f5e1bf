"""Give each scenario a clock of its own and stop what it started."""

from contextlib import ExitStack


class Clock:
    """A clock that stands until it is moved."""

    def __init__(self) -> None:
        self.at = 1000.0

    def __call__(self) -> float:
        return self.at


def before_scenario(context, scenario):
    context.stack = ExitStack()
    context.clock = Clock()


def after_scenario(context, scenario):
    context.stack.close()
