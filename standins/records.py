"""Records of one call to a stand-in."""

import json
import urllib.parse
from collections.abc import Callable
from typing import Any

import attrs

Environ = dict[str, Any]
Write = Callable[[bytes], None]


class ConnectionDroppedError(OSError):
    """Raised to close the connection without the rest of an answer."""


@attrs.frozen
class Call:
    """One HTTP call."""

    method: str
    path: str
    query: dict[str, str]
    body: bytes
    environ: Environ = attrs.field(repr=False)

    @classmethod
    def of(cls, environ: Environ) -> "Call":
        """Read a call, with its body, from a WSGI environment."""
        query = urllib.parse.parse_qsl(environ["QUERY_STRING"], keep_blank_values=True)
        return cls(
            environ["REQUEST_METHOD"],
            environ["PATH_INFO"].encode("latin-1").decode("utf-8", "replace"),
            dict(query),
            environ["wsgi.input"].read(),
            environ,
        )

    def header(self, name: str) -> str | None:
        """Return a header's value, none where it is absent."""
        value = self.environ.get(f"HTTP_{name.upper().replace('-', '_')}")
        return None if value is None else str(value)

    def json(self) -> Any:
        """Parse the body; ValueError where it is no JSON."""
        return json.loads(self.body)

    def disconnected(self) -> bool:
        """Tell whether the caller has closed the connection."""
        return bool(self.environ["waitress.client_disconnected"]())


@attrs.frozen
class Reply:
    """The answer to a call: a JSON body, or a stream that writes its own bytes."""

    status: int
    body: Any = None
    headers: tuple[tuple[str, str], ...] = ()
    content_type: str = "application/json"
    # Called with the writer; it returns when the answer is complete.
    stream: Callable[[Write], None] | None = None
    # Whether to close the connection after half of the body.
    cut: bool = False
