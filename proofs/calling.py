"""HTTP callers of a local cluster, for system tests."""

import http.client
import json
import time
import uuid
from collections.abc import Callable, Iterator
from typing import Any, TypeVar

import attrs

from standins.engine_answers import AnswerText
from tools.launch import Cluster
from tools.launch_files import LOOPBACK, SERVICE

CALL_TIMEOUT_SECONDS = 30.0
POLL_INTERVAL_SECONDS = 0.05
TEAM = "order-desk"
MODEL = "linen-small"
CHAT_PATH = "/v1/chat/completions"
RESERVATIONS_PATH = f"/services/{SERVICE}/reservations"
EVENT_PREFIX = "data: "
END_OF_STREAM = "[DONE]"

Json = dict[str, Any]
T = TypeVar("T")


class WaitTimeoutError(AssertionError):
    """A condition was not met within its time limit."""


def wait_for(condition: Callable[[], T], seconds: float, description: str) -> T:
    """Poll until a condition returns a truthy value, and return that value.

    Raises WaitTimeoutError with the description after `seconds`.
    """
    deadline = time.monotonic() + seconds
    while True:
        value = condition()
        if value:
            return value
        if time.monotonic() > deadline:
            raise WaitTimeoutError(
                f"{description}: not within {seconds} s; last value {value!r}"
            )
        time.sleep(POLL_INTERVAL_SECONDS)


def new_key() -> str:
    """Return a new, unique idempotency key."""
    return uuid.uuid4().hex


@attrs.frozen
class Response:
    """A response of an entry host, with lower-case header names."""

    status: int
    headers: dict[str, str]
    body: Any

    @property
    def run_state(self) -> str:
        """Return whether the request ran, as an error response states it."""
        return self.headers.get("masticfork-run-state", "")


class Caller:
    """Calls the entry hosts of one cluster, authenticated as one team."""

    def __init__(self, cluster: Cluster, team: str = TEAM) -> None:
        self._cluster = cluster
        self._key = cluster.secrets.team_keys[team]

    def call(
        self,
        host: int,
        method: str,
        path: str,
        body: Any = None,
        **headers: str,
    ) -> Response:
        """Make one call; underscores in the names of `headers` are sent as hyphens."""
        connection = self.connect(host)
        try:
            self._send(connection, method, path, body, headers)
            response = connection.getresponse()
            response_headers = {
                name.lower(): value for name, value in response.getheaders()
            }
            return Response(
                response.status, response_headers, json.loads(response.read())
            )
        finally:
            connection.close()

    def reserve(
        self, host: int, key: str, body: Any = None, seconds: float = 10.0
    ) -> Response:
        """Reserve a pallet, with a deadline of `seconds` from now."""
        return self.call(
            host,
            "POST",
            RESERVATIONS_PATH,
            body or {"pallet": 1},
            Idempotency_Key=key,
            Masticfork_Deadline=str(time.time() + seconds),
        )

    def look_up(self, host: int) -> Response:
        """Look up the stock of an item."""
        return self.call(host, "GET", f"/services/{SERVICE}/stock/canvas")

    def chat(
        self, host: int, text: str, model: str = MODEL, **headers: str
    ) -> Response:
        """Request a completion that is not streamed."""
        return self.call(host, "POST", CHAT_PATH, chat_body(text, model), **headers)

    def stream(
        self,
        host: int,
        text: str,
        key: str | None = None,
        model: str = MODEL,
        max_tokens: int | None = None,
    ) -> "ChatStream":
        """Request a streamed completion and read its response headers."""
        connection = self.connect(host)
        body = chat_body(text, model) | {"stream": True, "max_tokens": max_tokens}
        headers = {"Idempotency-Key": key or new_key()}
        self._send(connection, "POST", CHAT_PATH, body, headers)
        return ChatStream(connection, text)

    def connect(self, host: int) -> http.client.HTTPConnection:
        """Return a new connection, opened by its first request, to an entry host."""
        port = self._cluster.entry_hosts[host].entry_port
        return http.client.HTTPConnection(LOOPBACK, port, timeout=CALL_TIMEOUT_SECONDS)

    def _send(
        self,
        connection: http.client.HTTPConnection,
        method: str,
        path: str,
        body: Any,
        headers: dict[str, str],
    ) -> None:
        request_headers = {
            name.replace("_", "-"): value for name, value in headers.items()
        }
        request_headers["Authorization"] = f"Bearer {self._key}"
        payload = None if body is None else json.dumps(body)
        connection.request(method, path, payload, request_headers)


def chat_body(text: str, model: str = MODEL) -> Json:
    """Return the body of a chat request."""
    return {"model": model, "messages": [{"role": "user", "content": text}]}


class ChatStream:
    """A streamed completion as its caller reads it.

    `whole` is whether the end-of-stream event has arrived.
    """

    def __init__(self, connection: http.client.HTTPConnection, text: str) -> None:
        self._connection = connection
        self._prompt = text
        self._response = connection.getresponse()
        self.status = self._response.status
        self.headers = {n.lower(): v for n, v in self._response.getheaders()}
        self.content = ""
        self.version = ""
        self.tokens = 0
        self.whole = False

    @property
    def expected_content(self) -> str:
        """Return what this version generates, up to the number of tokens read."""
        return AnswerText.of(self.version, self._prompt).text(self.tokens)

    def read(self, tokens: int) -> "ChatStream":
        """Read until `tokens` tokens in total have arrived, or to the end."""
        for _ in self._chunks():
            if self.tokens >= tokens:
                break
        return self

    def read_all(self) -> "ChatStream":
        """Read to the end and close the connection."""
        for _ in self._chunks():
            pass
        self.close()
        return self

    def close(self) -> None:
        """Close the connection, possibly in the middle of the response."""
        self._response.close()
        self._connection.close()

    def _chunks(self) -> Iterator[Json]:
        for line in self._response:
            data = line.decode().strip()
            if data == EVENT_PREFIX + END_OF_STREAM:
                self.whole = True
            elif data.startswith(EVENT_PREFIX):
                chunk = json.loads(data.removeprefix(EVENT_PREFIX))
                self._record(chunk)
                yield chunk

    def _record(self, chunk: Json) -> None:
        self.version = chunk.get("model", self.version)
        for choice in chunk.get("choices", ()):
            token = choice["delta"].get("content")
            if token:
                self.content += token
                self.tokens += 1
