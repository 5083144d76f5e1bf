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
from masticfork.core.events import EventLog, Received
from masticfork.core.ids import digest
from masticfork.core.manifest import AUTO_MODEL, Team
from masticfork.core.refusals import Reason, Refusal, RunState
from masticfork.core.tables import Tables
from masticfork.entry import parsing
from masticfork.entry.active import ActiveRequests, CountedBody
from masticfork.entry.parsing import Environ, RequestLimits
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
    """Handles the calls of one interface, chat or services."""

    def handle(self, call: Any) -> Response:
        """Return the response to a parsed call."""


class TeamKeyCache:
    """Finds the team of an API key; caches by digest, so that no key is stored."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._configuration_number = -1
        self._teams: dict[str, Team] = {}

    def find_team(self, configuration: Configuration, key: str) -> Team | None:
        """Return the team with a matching key hash, or None."""
        key_digest = digest("key", key)
        with self._lock:
            if self._configuration_number != configuration.number:
                self._configuration_number, self._teams = configuration.number, {}
            if key_digest in self._teams:
                return self._teams[key_digest]
        team = _find_team(configuration, key)
        if team is not None:
            self._cache_team(configuration.number, key_digest, team)
        return team

    def _cache_team(self, number: int, key_digest: str, team: Team) -> None:
        with self._lock:
            if (
                self._configuration_number == number
                and len(self._teams) < MAX_CACHED_KEYS
            ):
                self._teams[key_digest] = team


def _find_team(configuration: Configuration, key: str) -> Team | None:
    for team in configuration.manifest.teams:
        if any(key_matches(key, key_hash) for key_hash in team.key_hashes):
            return team
    return None


@attrs.frozen
class EntryDependencies:
    """Dependencies of the WSGI application."""

    tables: Tables
    chat: CallHandler
    services: CallHandler
    event_log: EventLog
    limits: RequestLimits
    active: ActiveRequests
    ready: Callable[[], bool]
    observe: Callable[[Response], None]
    now: Callable[[], float]


class EntryApp:
    """WSGI application: authenticates, parses and dispatches calls to handlers."""

    def __init__(self, parts: EntryDependencies) -> None:
        self._parts = parts
        self._key_cache = TeamKeyCache()

    def __call__(self, environ: Environ, start: StartResponse) -> Iterable[bytes]:
        """Handle one request (WSGI entry point)."""
        active = self._parts.active
        active.increment()
        response = self._respond_or_fail(environ)
        write = start(status_line(response.status), list(response.headers))
        if response.stream is None:
            return CountedBody(response.body, active)
        try:
            response.stream(write)
        finally:
            active.decrement()
        return ()

    def _respond_or_fail(self, environ: Environ) -> Response:
        path = environ["PATH_INFO"]
        try:
            response = self._respond(environ, path)
        except Exception:
            # A backend server may already have run the request, hence UNKNOWN.
            _log.exception("request failed", reason="internal")
            refusal = Refusal(Reason.INTERNAL, "internal error", RunState.UNKNOWN)
            response = refusal_response(refusal, _is_openai(path), self._parts.now())
        self._record_response(environ["REQUEST_METHOD"], path, response)
        return response

    def _record_response(self, method: str, path: str, response: Response) -> None:
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
        health = self._health_response(path)
        if health is not None:
            return health
        result = self._handle_call(environ, path)
        if isinstance(result, Err):
            now = self._parts.now()
            return refusal_response(result.err_value, _is_openai(path), now)
        return result.ok_value

    def _health_response(self, path: str) -> Response | None:
        if path == "/livez":
            return json_response(200, {"live": True})
        if path == "/readyz":
            ready = self._parts.ready()
            return json_response(200 if ready else 503, {"ready": ready})
        return None

    def _handle_call(self, environ: Environ, path: str) -> Result[Response, Refusal]:
        oversize = parsing.check_size(environ, self._parts.limits)
        if oversize is not None:
            return Err(oversize)
        authenticated = self._authenticate(environ)
        if isinstance(authenticated, Err):
            return authenticated
        configuration, caller_team = authenticated.ok_value
        if path == MODELS_PATH:
            return Ok(json_response(200, _list_models(configuration, caller_team)))
        if self._parts.tables.me.stopping:
            return Err(self._stopping_refusal())
        head = parsing.parse_head(environ, caller_team, self._parts.now())
        if isinstance(head, Err):
            return head
        if path == CHAT_PATH:
            return self._handle_chat(environ, head.ok_value)
        if path.startswith(parsing.SERVICES_PREFIX):
            return self._handle_service(environ, head.ok_value, configuration)
        return Err(Refusal(Reason.NOT_FOUND, "there is nothing at this path"))

    def _stopping_refusal(self) -> Refusal:
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
            return Err(
                Refusal(Reason.NO_CONFIGURATION, "this host has no configuration yet")
            )
        team = self._key_cache.find_team(configuration, key.ok_value)
        if team is None:
            return Err(Refusal(Reason.KEY_WRONG, "the API key belongs to no team"))
        return Ok((configuration, team))

    def _handle_chat(
        self, environ: Environ, head: CallHead
    ) -> Result[Response, Refusal]:
        if environ["REQUEST_METHOD"] != "POST":
            return Err(Refusal(Reason.METHOD_NOT_ALLOWED, "use POST"))
        call = parsing.parse_chat(environ, head, environ["wsgi.input"].read())
        if isinstance(call, Err):
            return call
        chat: ChatCall = call.ok_value
        self._record_received(head, chat.work_class.value, str(chat.model))
        return Ok(self._parts.chat.handle(chat))

    def _handle_service(
        self, environ: Environ, head: CallHead, configuration: Configuration
    ) -> Result[Response, Refusal]:
        body = environ["wsgi.input"].read()
        call = parsing.parse_service(environ, head, configuration, body)
        if isinstance(call, Err):
            return call
        service: ServiceCall = call.ok_value
        self._record_received(
            head, service.operation.work_class.value, str(service.service.name)
        )
        return Ok(self._parts.services.handle(service))

    def _record_received(self, head: CallHead, work_class: str, target: str) -> None:
        event = Received(self._parts.now(), head.team.name, work_class, target)
        self._parts.event_log.add(head.request_id, event)


def _is_openai(path: str) -> bool:
    return path.startswith("/v1/")


def _list_models(configuration: Configuration, team: Team) -> dict[str, object]:
    usable = [v for v in configuration.versions if configuration.may_use(team, v)]
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
