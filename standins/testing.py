"""A small HTTP client for tests and the demonstration."""

import http.client
import json
from typing import Any

import attrs

from standins.common import LOOPBACK, Server

CALL_TIMEOUT_SECONDS = 30.0


@attrs.frozen
class HttpClient:
    """A callable client that opens a new connection for each request."""

    port: int

    def __call__(
        self,
        method: str,
        path: str,
        body: Any = None,
        headers: dict[str, str] | None = None,
    ) -> tuple[int, Any]:
        """Send a request and return the status and JSON body of the response."""
        connection = http.client.HTTPConnection(
            LOOPBACK, self.port, CALL_TIMEOUT_SECONDS
        )
        try:
            payload = None if body is None else json.dumps(body)
            connection.request(method, path, payload, headers or {})
            response = connection.getresponse()
            return response.status, json.loads(response.read())
        finally:
            connection.close()


def client_for(server: Server) -> HttpClient:
    """Return a client for a server in this process."""
    return HttpClient(server.port)
