"""The WSGI application for callers."""

import threading
from collections.abc import Callable, Iterable
from typing import Any, Protocol

import attrs
import logbook
from result import Err, Ok, Result

from masticfork.core.calls import CallHead, ChatCall, ServiceCall
from masticfork.core.configuration import Configuration
from masticfork.core.deadlines import Deadline
from masticfork.core.events import Journal, Received
from masticfork.core.ids import digest
from masticfork.core.manifest import AUTO_MODEL, Team
from masticfork.core.refusals import Reason, Refusal, RunState
from masticfork.core.tables import Tables
from masticfork.entry import parsing
from masticfork.entry.active import ActiveRequests, CountedBody
from masticfork.entry.parsing import Environ, Limits
from masticfork.entry.responses import (
    REASON_HEADER,
    Response,
    json_response,
    refusal_response,
    status_line,
)
from masticfork.settings.keys import key_matches

_log = logbook.Logger("entry")

CHAT_PATH = "/v1/chat/completions"
MODELS_PATH = "/v1/models"
STOPPING_RETRY_SECONDS = 1.0
MAX_CACHED_KEYS = 10_000

StartResponse = Callable[[str, list[tuple[str, str]]], Any]


class CallHandler(Protocol):
    """Answers the calls of one interface."""

    def handle(self, call: Any) -> Response:
        """Return the response to a parsed call."""


class KeyRing:
    """Finds the team of a key; caches by digest, never the key itself."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._number = -1
        self._teams: dict[str, Team] = {}

    def team_of(self, configuration: Configuration, key: str) -> Team | None:
        """Return the team whose key hashes contain the key."""
        known = digest("key", key)
        with self._lock:
            if self._number != configuration.number:
                self._number, self._teams = configuration.number, {}
            if known in self._teams:
                return self._teams[known]
        team = _search(configuration, key)
        if team is not None:
            self._remember(configuration.number, known, team)
        return team

    def _remember(self, number: int, known: str, team: Team) -> None:
        with self._lock:
            if self._number == number and len(self._teams) < MAX_CACHED_KEYS:
                self._teams[known] = team


def _search(configuration: Configuration, key: str) -> Team | None:
    for team in configuration.manifest.teams:
        if any(key_matches(key, key_hash) for key_hash in team.key_hashes):
            return team
    return None


@attrs.frozen
class EntryParts:
    """What the application hands calls to."""

    tables: Tables
    chat: CallHandler
    services: CallHandler
    journal: Journal
    limits: Limits
    active: ActiveRequests
    ready: Callable[[], bool]
    observe: Callable[[Response], None]
    now: Callable[[], float]


class EntryApp:
    """Authenticates, parses and hands on the calls of one listener."""

    def __init__(self, parts: EntryParts) -> None:
        self._parts = parts
        self._keys = KeyRing()

    def __call__(self, environ: Environ, start: StartResponse) -> Iterable[bytes]:
        """Answer one request."""
        active = self._parts.active
        active.enter()
        response = self._guarded(environ)
        write = start(status_line(response.status), list(response.headers))
        if response.stream is None:
            return CountedBody(response.body, active)
        try:
            response.stream(write)
        finally:
            active.leave()
        return ()

    def _guarded(self, environ: Environ) -> Response:
        path = environ["PATH_INFO"]
        try:
            response = self._respond(environ, path)
        except Exception:
            # Whatever was sent on has its own record; the caller must not guess.
            _log.exception("request failed", reason="internal")
            refusal = Refusal(Reason.INTERNAL, "internal error", RunState.UNKNOWN)
            response = refusal_response(refusal, _is_openai(path), self._parts.now())
        self._note(environ["REQUEST_METHOD"], path, response)
        return response

    def _note(self, method: str, path: str, response: Response) -> None:
        self._parts.observe(response)
        headers = dict(response.headers)
        _log.info(
            "request",
            method=method,
            path=path,
            status=response.status,
            reason=headers.get(REASON_HEADER),
            request_id=headers.get("Idempotency-Key"),
        )

    def _respond(self, environ: Environ, path: str) -> Response:
        probe = self._probe(path)
        if probe is not None:
            return probe
        answered = self._call(environ, path)
        if isinstance(answered, Err):
            now = self._parts.now()
            return refusal_response(answered.err_value, _is_openai(path), now)
        return answered.ok_value

    def _probe(self, path: str) -> Response | None:
        if path == "/livez":
            return json_response(200, {"live": True})
        if path == "/readyz":
            ready = self._parts.ready()
            return json_response(200 if ready else 503, {"ready": ready})
        return None

    def _call(self, environ: Environ, path: str) -> Result[Response, Refusal]:
        oversize = parsing.check_size(environ, self._parts.limits)
        if oversize is not None:
            return Err(oversize)
        team = self._authenticate(environ)
        if isinstance(team, Err):
            return team
        configuration, owner = team.ok_value
        if path == MODELS_PATH:
            return Ok(json_response(200, _models(configuration, owner)))
        if self._parts.tables.me.stopping:
            return Err(self._stopping())
        head = parsing.parse_head(environ, owner, self._parts.now())
        if isinstance(head, Err):
            return head
        if path == CHAT_PATH:
            return self._chat(environ, head.ok_value)
        if path.startswith(parsing.SERVICES_PREFIX):
            return self._service(environ, head.ok_value, configuration)
        return Err(Refusal(Reason.NOT_FOUND, "there is nothing at this path"))

    def _stopping(self) -> Refusal:
        retry_at = Deadline.after(self._parts.now(), STOPPING_RETRY_SECONDS)
        return Refusal(Reason.STOPPING, "this host is stopping", retry_at=retry_at)

    def _authenticate(
        self, environ: Environ
    ) -> Result[tuple[Configuration, Team], Refusal]:
        key = parsing.bearer_key(environ)
        if isinstance(key, Err):
            return key
        configuration = self._parts.tables.configuration
        if configuration is None:
            return Err(Refusal(Reason.NO_CONFIGURATION, "no configuration yet"))
        team = self._keys.team_of(configuration, key.ok_value)
        if team is None:
            return Err(Refusal(Reason.KEY_WRONG, "no team has this key"))
        return Ok((configuration, team))

    def _chat(self, environ: Environ, head: CallHead) -> Result[Response, Refusal]:
        if environ["REQUEST_METHOD"] != "POST":
            return Err(Refusal(Reason.METHOD_NOT_ALLOWED, "use POST"))
        call = parsing.parse_chat(environ, head, environ["wsgi.input"].read())
        if isinstance(call, Err):
            return call
        chat: ChatCall = call.ok_value
        self._received(head, chat.work_class.value, str(chat.model))
        return Ok(self._parts.chat.handle(chat))

    def _service(
        self, environ: Environ, head: CallHead, configuration: Configuration
    ) -> Result[Response, Refusal]:
        body = environ["wsgi.input"].read()
        call = parsing.parse_service(environ, head, configuration, body)
        if isinstance(call, Err):
            return call
        service: ServiceCall = call.ok_value
        self._received(
            head, service.operation.work_class.value, str(service.service.name)
        )
        return Ok(self._parts.services.handle(service))

    def _received(self, head: CallHead, work_class: str, target: str) -> None:
        event = Received(self._parts.now(), head.team.name, work_class, target)
        self._parts.journal.add(head.request_id, event)


def _is_openai(path: str) -> bool:
    return path.startswith("/v1/")


def _models(configuration: Configuration, team: Team) -> dict[str, object]:
    usable = [v for v in configuration.versions if configuration.usable(team, v)]
    models = [
        model.name
        for model in configuration.manifest.models
        if any(version.id in usable for version in model.versions)
    ]
    names = [*([AUTO_MODEL] if usable else []), *models]
    data = [
        {"id": name, "object": "model", "created": 0, "owned_by": "masticfork"}
        for name in names
    ]
    return {"object": "list", "data": data}
