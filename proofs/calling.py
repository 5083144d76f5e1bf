"""Callers of a local cluster, for proofs."""

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

CALL_SECONDS = 30.0
POLL_SECONDS = 0.05
TEAM = "order-desk"
MODEL = "linen-small"
CHAT_PATH = "/v1/chat/completions"
RESERVATIONS_PATH = f"/services/{SERVICE}/reservations"
EVENT_START = "data: "
DONE = "[DONE]"

Json = dict[str, Any]
T = TypeVar("T")


class NeverTrueError(AssertionError):
    """A condition that did not come true before its deadline."""


def wait_for(condition: Callable[[], T], seconds: float, what: str) -> T:
    """Poll until a condition is true; NeverTrueError after some seconds."""
    until = time.monotonic() + seconds
    while True:
        value = condition()
        if value:
            return value
        if time.monotonic() > until:
            raise NeverTrueError(f"{what}: not within {seconds} s, last {value!r}")
        time.sleep(POLL_SECONDS)


def new_key() -> str:
    """Return an idempotency key that nobody has used."""
    return uuid.uuid4().hex


@attrs.frozen
class Answer:
    """An answer of an entry host."""

    status: int
    headers: dict[str, str]
    body: Any

    @property
    def run_state(self) -> str:
        """Return what a refusal tells of whether the request ran."""
        return self.headers.get("masticfork-run-state", "")


class Caller:
    """Calls the entry hosts of one cluster in the name of a team."""

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
    ) -> Answer:
        """Make one call; a header's underscores stand for hyphens."""
        connection = self.connect(host)
        try:
            self._send(connection, method, path, body, headers)
            answer = connection.getresponse()
            named = {name.lower(): value for name, value in answer.getheaders()}
            return Answer(answer.status, named, json.loads(answer.read()))
        finally:
            connection.close()

    def reserve(
        self, host: int, key: str, body: Any = None, seconds: float = 10.0
    ) -> Answer:
        """Reserve a pallet within some seconds."""
        return self.call(
            host,
            "POST",
            RESERVATIONS_PATH,
            body or {"pallet": 1},
            Idempotency_Key=key,
            Masticfork_Deadline=str(time.time() + seconds),
        )

    def look_up(self, host: int) -> Answer:
        """Ask for the stock of an item."""
        return self.call(host, "GET", f"/services/{SERVICE}/stock/canvas")

    def chat(self, host: int, text: str, model: str = MODEL, **headers: str) -> Answer:
        """Ask for a plain answer of a model."""
        return self.call(host, "POST", CHAT_PATH, chat_body(text, model), **headers)

    def stream(
        self,
        host: int,
        text: str,
        key: str | None = None,
        model: str = MODEL,
        max_tokens: int | None = None,
    ) -> "ChatStream":
        """Ask for a streamed answer of a model."""
        connection = self.connect(host)
        body = chat_body(text, model) | {"stream": True, "max_tokens": max_tokens}
        headers = {"Idempotency-Key": key or new_key()}
        self._send(connection, "POST", CHAT_PATH, body, headers)
        return ChatStream(connection, text)

    def connect(self, host: int) -> http.client.HTTPConnection:
        """Return a connection to an entry host."""
        port = self._cluster.places[host].entry_port
        return http.client.HTTPConnection(LOOPBACK, port, timeout=CALL_SECONDS)

    def _send(
        self,
        connection: http.client.HTTPConnection,
        method: str,
        path: str,
        body: Any,
        headers: dict[str, str],
    ) -> None:
        sent = {name.replace("_", "-"): value for name, value in headers.items()}
        sent["Authorization"] = f"Bearer {self._key}"
        payload = None if body is None else json.dumps(body)
        connection.request(method, path, payload, sent)


def chat_body(text: str, model: str = MODEL) -> Json:
    """Return the body of a chat request."""
    return {"model": model, "messages": [{"role": "user", "content": text}]}


class ChatStream:
    """A streamed answer as its caller reads it."""

    def __init__(self, connection: http.client.HTTPConnection, text: str) -> None:
        self._connection = connection
        self._question = text
        self._answer = connection.getresponse()
        self.status = self._answer.status
        self.headers = {n.lower(): v for n, v in self._answer.getheaders()}
        self.content = ""
        self.version = ""
        self.tokens = 0
        self.whole = False

    @property
    def expected(self) -> str:
        """Return the text of the engine of this version, as long as the content."""
        return AnswerText.of(self.version, self._question).text(self.tokens)

    def read(self, tokens: int) -> "ChatStream":
        """Read until that many tokens have come."""
        for _ in self._chunks():
            if self.tokens >= tokens:
                break
        return self

    def read_all(self) -> "ChatStream":
        """Read to the end."""
        for _ in self._chunks():
            pass
        self.close()
        return self

    def close(self) -> None:
        """Go away, also in the middle of the answer."""
        self._answer.close()
        self._connection.close()

    def _chunks(self) -> Iterator[Json]:
        for line in self._answer:
            data = line.decode().strip()
            if data == EVENT_START + DONE:
                self.whole = True
            elif data.startswith(EVENT_START):
                chunk = json.loads(data.removeprefix(EVENT_START))
                self._note(chunk)
                yield chunk

    def _note(self, chunk: Json) -> None:
        self.version = chunk.get("model", self.version)
        for choice in chunk.get("choices", ()):
            token = choice["delta"].get("content")
            if token:
                self.content += token
                self.tokens += 1
