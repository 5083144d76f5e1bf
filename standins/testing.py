"""A small HTTP caller for tests and the demonstration."""

import http.client
import json
from typing import Any

import attrs

from standins.common import LOOPBACK, Server

CALL_SECONDS = 30.0


@attrs.frozen
class Ask:
    """Make calls, each on a connection of its own."""

    port: int

    def __call__(
        self,
        method: str,
        path: str,
        body: Any = None,
        headers: dict[str, str] | None = None,
    ) -> tuple[int, Any]:
        """Return the status and the JSON body of an answer."""
        connection = http.client.HTTPConnection(LOOPBACK, self.port, CALL_SECONDS)
        try:
            payload = None if body is None else json.dumps(body)
            connection.request(method, path, payload, headers or {})
            answer = connection.getresponse()
            return answer.status, json.loads(answer.read())
        finally:
            connection.close()


def asker(server: Server) -> Ask:
    """Return a caller of a server of this process."""
    return Ask(server.port)
