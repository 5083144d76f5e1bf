"""Requests to a stand-in and its responses."""

import json
import urllib.parse
from collections.abc import Callable
from typing import Any

import attrs

Environ = dict[str, Any]
Write = Callable[[bytes], None]


class ConnectionDroppedError(OSError):
    """Raised to close the connection without completing the response."""


@attrs.frozen
class Call:
    """One HTTP request."""

    method: str
    path: str
    query: dict[str, str]
    body: bytes
    environ: Environ = attrs.field(repr=False)

    @classmethod
    def from_environ(cls, environ: Environ) -> "Call":
        """Read a request, including its body, from a WSGI environment."""
        query = urllib.parse.parse_qsl(environ["QUERY_STRING"], keep_blank_values=True)
        return cls(
            environ["REQUEST_METHOD"],
            environ["PATH_INFO"].encode("latin-1").decode("utf-8", "replace"),
            dict(query),
            environ["wsgi.input"].read(),
            environ,
        )

    def header(self, name: str) -> str | None:
        """Return the value of a header, or None if it is absent."""
        value = self.environ.get(f"HTTP_{name.upper().replace('-', '_')}")
        return None if value is None else str(value)

    def json(self) -> Any:
        """Parse the body as JSON; raise ValueError if it is malformed."""
        return json.loads(self.body)

    def disconnected(self) -> bool:
        """Return whether the client has closed the connection."""
        return bool(self.environ["waitress.client_disconnected"]())


@attrs.frozen
class Reply:
    """A response: a JSON body, or a stream that writes its own bytes."""

    status: int
    body: Any = None
    headers: tuple[tuple[str, str], ...] = ()
    content_type: str = "application/json"
    # Called with the WSGI write function; returns when the response is complete.
    stream: Callable[[Write], None] | None = None
    # Whether to send half of the body and then close the connection.
    cut: bool = False
