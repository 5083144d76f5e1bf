"""Client of model engines: streams, resumption, cancellation and load."""

import http.client
import json
from collections.abc import Callable

import attrs
from result import Err, Ok, Result

from masticfork.backends.connections import (
    Answer,
    Connection,
    ConnectionPool,
    Request,
)
from masticfork.backends.engine_stream import STALL_SECONDS, EngineStream
from masticfork.backends.failures import CallFailure, FailureKind, Stage
from masticfork.backends.pump import StreamPump
from masticfork.core.deadlines import Deadline
from masticfork.core.ids import AttemptId, VersionId
from masticfork.core.manifest import BackendServer

CHAT_PATH = "/v1/chat/completions"
_OK = 200
_NOT_FOUND = 404
_UNAVAILABLE = 503


@attrs.frozen
class EngineCall:
    """One attempt at generating an answer."""

    attempt_id: AttemptId
    version: VersionId
    # The caller's JSON body without the fields that the router sets.
    body: dict[str, object]
    priority: int
    traceparent: str | None = None
    # Tokens that have arrived already, where a known generation is resumed: the
    # engine sends those after them. None starts a new generation.
    resume_after: int | None = None


@attrs.frozen
class Usage:
    """What an engine counted for one attempt, in tokens."""

    prompt_tokens: int = 0
    completion_tokens: int = 0
    cached_tokens: int = 0


@attrs.frozen
class CacheEvents:
    """Prefixes that an engine stored and removed, and the last event's number."""

    stored: tuple[str, ...]
    removed: tuple[str, ...]
    following: int


class EngineClient:
    """Starts, resumes and cancels generations on engines."""

    def __init__(
        self, pool: ConnectionPool, pump: StreamPump, now: Callable[[], float]
    ) -> None:
        self._pool = pool
        self._pump = pump
        self._now = now

    def start(
        self, server: BackendServer, call: EngineCall, deadline: Deadline
    ) -> Result[EngineStream, CallFailure]:
        """Start or resume a stream; Ok once the engine has accepted it."""
        started = self._start(server, call, deadline, fresh=False)
        if isinstance(started, Err) and _lost_before_answer(started.err_value):
            # Engines close idle connections; the attempt's identity makes it safe
            # to send again what may have arrived.
            return self._start(server, call, deadline, fresh=True)
        return started

    def _start(
        self, server: BackendServer, call: EngineCall, deadline: Deadline, fresh: bool
    ) -> Result[EngineStream, CallFailure]:
        limit = deadline.sooner(Deadline.after(self._now(), STALL_SECONDS))
        sent = self._pool.send(server, _request(call), limit, fresh)
        if isinstance(sent, Err):
            return sent
        connection = sent.ok_value
        stream = EngineStream(connection, deadline, self._now, self._releaser(server))
        self._pump.add(stream)
        status = stream.status()
        if isinstance(status, Err):
            stream.close()
            return status
        if status.ok_value != _OK:
            return Err(_refused(status.ok_value, stream.error_body()))
        return Ok(stream)

    def cancel(
        self, server: BackendServer, attempt: AttemptId, deadline: Deadline
    ) -> Result[None, CallFailure]:
        """Stop a generation; a request that the engine does not know is a success."""
        done = self._exchange(server, "DELETE", f"/v1/requests/{attempt}", deadline)
        return Err(done.err_value) if isinstance(done, Err) else Ok(None)

    def find(
        self, server: BackendServer, attempt: AttemptId, deadline: Deadline
    ) -> Result[bool, CallFailure]:
        """Tell whether the engine holds a live or finished stream of the attempt."""
        done = self._exchange(server, "GET", f"/v1/requests/{attempt}", deadline)
        if isinstance(done, Err):
            return done
        status, body = done.ok_value
        if status != _OK:
            return Ok(False)
        return Ok(body.get("state") in ("queued", "running", "done"))

    def load(
        self, server: BackendServer, deadline: Deadline
    ) -> Result[dict[str, object], CallFailure]:
        """Read the engine's load report."""
        done = self._exchange(server, "GET", "/v1/load", deadline)
        return done.map(lambda answer: answer[1])

    def cache_events(
        self, server: BackendServer, after: int, deadline: Deadline
    ) -> Result[CacheEvents, CallFailure]:
        """Read the events of the engine's prefix cache that follow a number."""
        path = f"/v1/cache-events?after={after}"
        done = self._exchange(server, "GET", path, deadline)
        return done.map(lambda answer: _cache_events(answer[1], after))

    def _exchange(
        self, server: BackendServer, method: str, path: str, deadline: Deadline
    ) -> Result[tuple[int, dict[str, object]], CallFailure]:
        request = Request(method, path, ())
        started = self._pool.start(server, request, deadline, fresh=False)
        if isinstance(started, Err):
            return started
        answer = started.ok_value
        body = _read_json(answer)
        if answer.response.will_close:
            answer.connection.http.close()
        else:
            self._pool.give_back(server, answer.connection)
        return Ok((answer.response.status, body))

    def _releaser(self, server: BackendServer) -> Callable[[Connection, bool], None]:
        def release(connection: Connection, reusable: bool) -> None:
            if reusable:
                self._pool.give_back(server, connection.renewed())
            else:
                connection.http.close()

        return release


def _lost_before_answer(failure: CallFailure) -> bool:
    lost = failure.kind is FailureKind.CONNECTION
    return lost and failure.stage in (Stage.SENDING, Stage.SENT)


def _refused(status: int, content: bytes) -> CallFailure:
    error = _parse_json(content).get("error")
    code = str(error.get("code")) if isinstance(error, dict) else ""
    kinds = {
        (_NOT_FOUND, "version_not_loaded"): FailureKind.NOT_LOADED,
        (_NOT_FOUND, "unknown_request"): FailureKind.UNKNOWN_REQUEST,
    }
    kind = kinds.get((status, code), FailureKind.ERROR_STATUS)
    if status == _UNAVAILABLE:
        kind = FailureKind.REFUSED
    return CallFailure(Stage.ANSWERING, kind, f"status {status} {code}")


def _request(call: EngineCall) -> Request:
    body = dict(call.body)
    body |= {"model": call.version, "stream": True, "priority": call.priority}
    headers = [
        ("Content-Type", "application/json"),
        ("X-Request-Id", str(call.attempt_id)),
    ]
    if call.traceparent:
        headers.append(("traceparent", call.traceparent))
    if call.resume_after is not None:
        headers.append(("Last-Event-ID", str(call.resume_after)))
    return Request("POST", CHAT_PATH, tuple(headers), json.dumps(body).encode())


def _cache_events(body: dict[str, object], after: int) -> CacheEvents:
    rows = body.get("events")
    events = [r for r in rows if isinstance(r, dict)] if isinstance(rows, list) else []
    # Of several events of a prefix only the last one counts.
    kinds = {str(row.get("prefix")): row.get("kind") for row in events}
    following = body.get("next")
    return CacheEvents(
        tuple(prefix for prefix, kind in kinds.items() if kind == "stored"),
        tuple(prefix for prefix, kind in kinds.items() if kind == "removed"),
        following if isinstance(following, int) else after,
    )


def _read_json(answer: Answer) -> dict[str, object]:
    try:
        return _parse_json(answer.response.read())
    except (OSError, http.client.HTTPException):
        return {}


def _parse_json(content: bytes) -> dict[str, object]:
    try:
        body = json.loads(content or b"{}")
    except ValueError:
        return {}
    return body if isinstance(body, dict) else {}
