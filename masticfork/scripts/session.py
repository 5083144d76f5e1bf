"""Connection options, output and exit codes of the command-line tool."""

import enum
import json
import sys
from collections.abc import Callable
from typing import Any, NoReturn

import attrs
import click
from result import Err, Result

from masticfork.admin import rendering
from masticfork.admin.client import (
    AdminClient,
    Call,
    CallFailure,
    FailureKind,
    JsonObject,
)


class ExitCode(enum.IntEnum):
    """Exit code of the tool."""

    OK = 0
    REFUSED = 1
    FINDINGS = 2
    UNREACHABLE = 3
    UNKNOWN = 4


_EXIT_CODES = {
    FailureKind.REFUSED: ExitCode.REFUSED,
    FailureKind.FAULTY: ExitCode.FINDINGS,
    FailureKind.UNREACHABLE: ExitCode.UNREACHABLE,
    FailureKind.UNKNOWN: ExitCode.UNKNOWN,
}

Command = Callable[..., Any]


@attrs.frozen
class Session:
    """API client and output format of one run of the tool."""

    client: AdminClient
    as_json: bool

    def get(self, path: str, **query: str | int | None) -> JsonObject:
        """Return the response body of a GET call, or exit with the failure."""
        return self.value(self.client.call(Call("GET", path, query)))

    def value(self, answer: Result[JsonObject, CallFailure]) -> JsonObject:
        """Return the response body of a call, or exit with the failure."""
        if isinstance(answer, Err):
            self.fail(answer.err_value)
        return answer.ok_value

    def fail(self, failure: CallFailure, source: str = "manifest") -> NoReturn:
        """Print a failure and exit; `source` names the manifest in findings."""
        problem = failure.problem
        if self.as_json:
            shown = problem or {"code": failure.kind.value, "detail": failure.message}
            click.echo(json.dumps(shown, indent=2))
        for finding in problem.get("findings", ()):
            click.echo(rendering.finding_line(source, finding), err=True)
        for change in problem.get("changes", ()):
            click.echo(rendering.change_line(change), err=True)
        for path in problem.get("paths", ()):
            click.echo(f"outside your teams: {path}", err=True)
        click.echo(f"{failure.kind.value}: {failure.message}", err=True)
        sys.exit(_EXIT_CODES[failure.kind])

    def show(self, value: Any, text: Callable[[], str]) -> None:
        """Print a value as JSON, or as the text that `text` returns."""
        shown = json.dumps(value, indent=2, ensure_ascii=False) if self.as_json else ""
        click.echo(shown or text())


output_option = click.option(
    "--output",
    type=click.Choice(["table", "json"]),
    default="table",
    envvar="MASTICFORK_OUTPUT",
    show_envvar=True,
    help="Output format.",
)


def with_session(command: Command) -> Command:
    """Add the connection and output options to a command, and pass it a session."""

    def wrapper(url: str, key: str, timeout: float, output: str, **options: Any) -> Any:
        urls = tuple(part.strip() for part in url.split(",") if part.strip())
        client = AdminClient(urls, key, timeout)
        return command(Session(client, output == "json"), **options)

    wrapper.__name__, wrapper.__doc__ = command.__name__, command.__doc__
    wrapper.__dict__.update(command.__dict__)
    for option in (
        output_option,
        click.option(
            "--timeout",
            default=15.0,
            show_default=True,
            help="Timeout of a call in seconds.",
        ),
        click.option(
            "--key",
            required=True,
            envvar="MASTICFORK_KEY",
            show_envvar=True,
            help="Administrator's key.",
        ),
        click.option(
            "--url",
            required=True,
            envvar="MASTICFORK_URL",
            show_envvar=True,
            help="Comma-separated base URLs of the daemons' administration API.",
        ),
    ):
        wrapper = option(wrapper)
    return wrapper


submission_option = click.option(
    "--submission-id",
    help="Id of the change; repeating the same id has no further effect.",
)
