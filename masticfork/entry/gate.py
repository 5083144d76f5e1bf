"""Hold requests at the entry until admission lets them be served."""

from collections.abc import Callable

import attrs
from result import Err, Ok, Result

from masticfork.core.calls import ChatCall, ServiceCall
from masticfork.core.configuration import Configuration
from masticfork.core.ids import VersionId
from masticfork.core.refusals import Refusal
from masticfork.systems.admission import wait
from masticfork.systems.admission_records import Admission, AdmissionRequest, Ticket
from masticfork.systems.pool_capacity import pool_key, service_key


def _ignore(request: AdmissionRequest, seconds: float) -> None:
    """Do nothing."""


@attrs.frozen
class Gate:
    """Makes the calling thread wait for admission and gives back its place."""

    _admission: Admission
    _now: Callable[[], float]
    # Takes the seconds that an admitted request waited.
    _waited: Callable[[AdmissionRequest, float], None] = _ignore

    def enter(self, request: AdmissionRequest) -> Result[Ticket, Refusal]:
        """Return the ticket of a request that may be served now, or a refusal."""
        asked_at = self._now()
        admitted = self._admission.admit(request, asked_at)
        if isinstance(admitted, Err):
            return admitted
        ticket = admitted.ok_value
        verdict = wait(self._admission, ticket, self._now())
        if isinstance(verdict, Err):
            return verdict
        self._waited(request, self._now() - asked_at)
        return Ok(ticket)

    def leave(self, ticket: Ticket, tokens: float | None = None) -> None:
        """Tell that the request is no longer served and what it generated.

        The tokens are none where it was not answered.
        """
        self._admission.finish(ticket, tokens, self._now())


def chat_admission(
    call: ChatCall, configuration: Configuration | None, version: VersionId
) -> AdmissionRequest:
    """Return what admission is asked for a chat request."""
    known = configuration.versions.get(version) if configuration else None
    return AdmissionRequest(
        call.head.team.name,
        call.work_class,
        pool_key(known.pool if known else ""),
        call.head.deadline,
        _max_tokens(call),
        uses_tokens=True,
    )


def service_admission(call: ServiceCall) -> AdmissionRequest:
    """Return what admission is asked for a call to a plain service."""
    return AdmissionRequest(
        call.head.team.name,
        call.operation.work_class,
        service_key(call.service.name),
        call.head.deadline,
    )


def _max_tokens(call: ChatCall) -> float | None:
    for name in ("max_completion_tokens", "max_tokens"):
        value = call.body.get(name)
        if isinstance(value, int) and value >= 0:
            return float(value)
    return None
