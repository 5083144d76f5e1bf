"""Client of model engines: streams, resumption, cancellation and load."""

import http.client
import json
from collections.abc import Callable, Iterator

import attrs
from result import Err, Ok, Result

from masticfork.backends.connections import Answer, ConnectionPool, Request
from masticfork.backends.failures import CallFailure, FailureKind, Stage
from masticfork.core.deadlines import Deadline
from masticfork.core.ids import AttemptId, VersionId
from masticfork.core.manifest import BackendServer

CHAT_PATH = "/v1/chat/completions"
# Longest silence inside a running stream.
STALL_SECONDS = 10.0
_FRAME_END = b"\n\n"
_DONE = b"data: [DONE]"
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
    # Tokens that have arrived already; the engine sends those after them.
    offset: int = 0


@attrs.frozen
class Usage:
    """What an engine counted for one attempt, in tokens."""

    prompt_tokens: int = 0
    completion_tokens: int = 0
    cached_tokens: int = 0


@attrs.frozen
class Frame:
    """One server-sent event as the engine wrote it, without the blank line."""

    raw: bytes
    # Tokens generated up to here; zero in frames that carry no token.
    offset: int


class EngineStream:
    """A running answer of an engine, read frame by frame."""

    def __init__(self, answer: Answer, release: Callable[[bool], None]) -> None:
        self._answer = answer
        self._release = release
        # One iterator for the whole stream, since it holds what was read ahead.
        self._frames = self._read()
        self.complete = False

    def frames(self) -> Iterator[Result[Frame, CallFailure]]:
        """Yield frames until `[DONE]`, then end; a loss is the last item."""
        return self._frames

    def _read(self) -> Iterator[Result[Frame, CallFailure]]:
        try:
            for raw in self._raw_frames():
                if raw == _DONE:
                    self._drain()
                    self.complete = True
                    return
                yield Ok(Frame(raw, _offset_of(raw)))
        except TimeoutError:
            yield Err(CallFailure(Stage.ANSWERING, FailureKind.TIMEOUT, "stall"))
            return
        except (OSError, ValueError, http.client.HTTPException) as error:
            name = type(error).__name__
            yield Err(CallFailure(Stage.ANSWERING, FailureKind.CONNECTION, name))
            return
        yield Err(CallFailure(Stage.ANSWERING, FailureKind.CONNECTION, "cut"))

    def close(self) -> None:
        """Give the connection back if the stream is complete, else close it."""
        self._release(self.complete)

    def _raw_frames(self) -> Iterator[bytes]:
        read = self._answer.response.read1
        buffer = b""
        while data := read(65536):
            buffer += data
            if _FRAME_END not in buffer:
                continue
            *whole, buffer = buffer.split(_FRAME_END)
            yield from whole

    def _drain(self) -> None:
        while self._answer.response.read1(65536):
            pass


class EngineClient:
    """Starts, resumes and cancels generations on engines."""

    def __init__(self, pool: ConnectionPool, now: Callable[[], float]) -> None:
        self._pool = pool
        self._now = now

    def start(
        self, server: BackendServer, call: EngineCall, deadline: Deadline
    ) -> Result[EngineStream, CallFailure]:
        """Start or resume a stream; Ok once the engine has accepted it."""
        limit = deadline.sooner(Deadline.after(self._now(), STALL_SECONDS))
        started = self._pool.start(server, _request(call), limit, fresh=False)
        if isinstance(started, Err):
            return started
        answer = started.ok_value
        if answer.response.status != _OK:
            return Err(self._refused(server, answer))
        release = self._releaser(server, answer)
        return Ok(EngineStream(answer, release))

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

    def _exchange(
        self, server: BackendServer, method: str, path: str, deadline: Deadline
    ) -> Result[tuple[int, dict[str, object]], CallFailure]:
        request = Request(method, path, ())
        started = self._pool.start(server, request, deadline, fresh=False)
        if isinstance(started, Err):
            return started
        answer = started.ok_value
        body = _read_json(answer)
        self._releaser(server, answer)(True)
        return Ok((answer.response.status, body))

    def _refused(self, server: BackendServer, answer: Answer) -> CallFailure:
        body = _read_json(answer)
        self._releaser(server, answer)(True)
        error = body.get("error")
        code = str(error.get("code")) if isinstance(error, dict) else ""
        status = answer.response.status
        kinds = {
            (_NOT_FOUND, "version_not_loaded"): FailureKind.NOT_LOADED,
            (_NOT_FOUND, "unknown_request"): FailureKind.UNKNOWN_REQUEST,
        }
        kind = kinds.get((status, code), FailureKind.ERROR_STATUS)
        if status == _UNAVAILABLE:
            kind = FailureKind.REFUSED
        return CallFailure(Stage.ANSWERING, kind, f"status {status} {code}")

    def _releaser(
        self, server: BackendServer, answer: Answer
    ) -> Callable[[bool], None]:
        def release(complete: bool) -> None:
            if complete and not answer.response.will_close:
                self._pool.give_back(server, answer.connection)
            else:
                answer.response.close()
                answer.connection.http.close()

        return release


def _request(call: EngineCall) -> Request:
    body = dict(call.body)
    body |= {"model": call.version, "stream": True, "priority": call.priority}
    headers = [
        ("Content-Type", "application/json"),
        ("X-Request-Id", str(call.attempt_id)),
    ]
    if call.traceparent:
        headers.append(("traceparent", call.traceparent))
    if call.offset:
        headers.append(("Last-Event-ID", str(call.offset)))
    return Request("POST", CHAT_PATH, tuple(headers), json.dumps(body).encode())


def _offset_of(raw: bytes) -> int:
    if not raw.startswith(b"id: "):
        return 0
    return int(raw[4 : raw.index(b"\n")])


def _read_json(answer: Answer) -> dict[str, object]:
    try:
        body = json.loads(answer.response.read() or b"{}")
    except (OSError, ValueError, http.client.HTTPException):
        return {}
    return body if isinstance(body, dict) else {}
