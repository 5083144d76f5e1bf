"""Client of model engines: generation streams, cancellation, load, cache events."""

import json
from collections.abc import Callable

import attrs
from result import Err, Ok, Result

from masticfork.backends.connections import (
    Connection,
    ConnectionPool,
    Request,
)
from masticfork.backends.engine_stream import STALL_SECONDS, EngineStream
from masticfork.backends.failures import CallFailure, FailureKind, Stage
from masticfork.backends.stream_reader import StreamReader
from masticfork.core.deadlines import Deadline
from masticfork.core.ids import AttemptId, VersionId
from masticfork.core.manifest import BackendServer

CHAT_PATH = "/v1/chat/completions"
_OK = 200
_NOT_FOUND = 404
_SERVICE_UNAVAILABLE = 503


@attrs.frozen
class EngineCall:
    """One attempt at a generation."""

    attempt_id: AttemptId
    version: VersionId
    # The caller's JSON body without the fields that the router sets.
    body: dict[str, object]
    priority: int
    traceparent: str | None = None
    # Number of tokens already received when an earlier generation is resumed; the
    # engine sends the tokens after them. None starts a new generation.
    resume_after: int | None = None


@attrs.frozen
class Usage:
    """Token counts that an engine reported for one attempt."""

    prompt_tokens: int = 0
    completion_tokens: int = 0
    cached_tokens: int = 0


@attrs.frozen
class CacheEvents:
    """Prefixes that an engine stored and removed, and where to read on.

    `next_event_number` is the event number to pass as `after` in the next call.
    """

    stored: tuple[str, ...]
    removed: tuple[str, ...]
    next_event_number: int


class EngineClient:
    """Starts, resumes and cancels generations on engines; reads their state."""

    def __init__(
        self, pool: ConnectionPool, reader: StreamReader, now: Callable[[], float]
    ) -> None:
        self._pool = pool
        self._reader = reader
        self._now = now

    def start(
        self, server: BackendServer, call: EngineCall, deadline: Deadline
    ) -> Result[EngineStream, CallFailure]:
        """Start or resume a generation; return Ok once the engine responds with 200."""
        started = self._start(server, call, deadline, fresh=False)
        if isinstance(started, Err) and _lost_before_response(started.err_value):
            # Engines close idle connections. A request that may have arrived can be
            # sent again safely, since the engine recognises the attempt id.
            return self._start(server, call, deadline, fresh=True)
        return started

    def _start(
        self, server: BackendServer, call: EngineCall, deadline: Deadline, fresh: bool
    ) -> Result[EngineStream, CallFailure]:
        send_deadline = deadline.earliest(Deadline.after(self._now(), STALL_SECONDS))
        sent = self._pool.send(server, _generation_request(call), send_deadline, fresh)
        if isinstance(sent, Err):
            return sent
        connection = sent.ok_value
        stream = EngineStream(
            connection,
            call.attempt_id,
            deadline,
            self._now,
            self._release_callback(server),
        )
        self._reader.add(stream)
        status = stream.wait_for_status()
        if isinstance(status, Err):
            stream.close()
            return status
        if status.ok_value != _OK:
            return Err(
                _error_status_failure(status.ok_value, stream.wait_for_error_body())
            )
        return Ok(stream)

    def cancel(
        self, server: BackendServer, attempt: AttemptId, deadline: Deadline
    ) -> Result[None, CallFailure]:
        """Cancel a generation; succeed if the engine does not know the attempt."""
        outcome = self._exchange(server, "DELETE", f"/v1/requests/{attempt}", deadline)
        return Err(outcome.err_value) if isinstance(outcome, Err) else Ok(None)

    def has_attempt(
        self, server: BackendServer, attempt: AttemptId, deadline: Deadline
    ) -> Result[bool, CallFailure]:
        """Return whether the engine holds a queued, running or finished attempt."""
        outcome = self._exchange(server, "GET", f"/v1/requests/{attempt}", deadline)
        if isinstance(outcome, Err):
            return outcome
        status, body = outcome.ok_value
        if status != _OK:
            return Ok(False)
        return Ok(body.get("state") in ("queued", "running", "done"))

    def load(
        self, server: BackendServer, deadline: Deadline
    ) -> Result[dict[str, object], CallFailure]:
        """Return the engine's load report, a JSON object; empty if it is malformed."""
        outcome = self._exchange(server, "GET", "/v1/load", deadline)
        return outcome.map(lambda exchange: exchange[1])

    def cache_events(
        self, server: BackendServer, after: int, deadline: Deadline
    ) -> Result[CacheEvents, CallFailure]:
        """Return the engine's prefix cache events whose numbers follow `after`."""
        path = f"/v1/cache-events?after={after}"
        outcome = self._exchange(server, "GET", path, deadline)
        return outcome.map(lambda exchange: _parse_cache_events(exchange[1], after))

    def _exchange(
        self, server: BackendServer, method: str, path: str, deadline: Deadline
    ) -> Result[tuple[int, dict[str, object]], CallFailure]:
        request = Request(method, path, ())
        started = self._pool.start(server, request, deadline, fresh=False)
        if isinstance(started, Err):
            return started
        opened = started.ok_value
        body = self._pool.finish(server, opened)
        if isinstance(body, Err):
            return body
        return Ok((opened.response.status, _parse_json_object(body.ok_value)))

    def _release_callback(
        self, server: BackendServer
    ) -> Callable[[Connection, bool], None]:
        def return_or_close(connection: Connection, reusable: bool) -> None:
            if reusable:
                self._pool.release(server, connection.reset_for_reuse())
            else:
                connection.http.close()

        return return_or_close


def _lost_before_response(failure: CallFailure) -> bool:
    lost = failure.kind is FailureKind.CONNECTION
    return lost and failure.stage in (Stage.SENDING, Stage.SENT)


def _error_status_failure(status: int, content: bytes) -> CallFailure:
    error = _parse_json_object(content).get("error")
    code = str(error.get("code")) if isinstance(error, dict) else ""
    kinds = {
        (_NOT_FOUND, "version_not_loaded"): FailureKind.NOT_LOADED,
        (_NOT_FOUND, "unknown_request"): FailureKind.UNKNOWN_REQUEST,
    }
    kind = kinds.get((status, code), FailureKind.ERROR_STATUS)
    if status == _SERVICE_UNAVAILABLE:
        kind = FailureKind.REFUSED
    return CallFailure(Stage.ANSWERING, kind, f"status {status} {code}")


def _generation_request(call: EngineCall) -> Request:
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


def _parse_cache_events(body: dict[str, object], after: int) -> CacheEvents:
    rows = body.get("events")
    events = [r for r in rows if isinstance(r, dict)] if isinstance(rows, list) else []
    # The last event of a prefix tells whether it is cached now.
    kinds = {str(row.get("prefix")): row.get("kind") for row in events}
    following = body.get("next")
    return CacheEvents(
        tuple(prefix for prefix, kind in kinds.items() if kind == "stored"),
        tuple(prefix for prefix, kind in kinds.items() if kind == "removed"),
        following if isinstance(following, int) else after,
    )


def _parse_json_object(content: bytes) -> dict[str, object]:
    try:
        body = json.loads(content or b"{}")
    except ValueError:
        return {}
    return body if isinstance(body, dict) else {}
