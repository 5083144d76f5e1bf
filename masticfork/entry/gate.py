"""Block requests until admission control lets them be served."""

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


def _ignore_wait(request: AdmissionRequest, seconds: float) -> None:
    """Discard the wait time."""


@attrs.frozen
class AdmissionGate:
    """Blocks the calling thread until admission, and releases its ticket."""

    _admission: Admission
    _now: Callable[[], float]
    # Called with the seconds that an admitted request waited.
    _observe_wait: Callable[[AdmissionRequest, float], None] = _ignore_wait

    def acquire(self, request: AdmissionRequest) -> Result[Ticket, Refusal]:
        """Wait for admission; return a ticket, or the refusal of the request."""
        requested_at = self._now()
        admitted = self._admission.admit(request, requested_at)
        if isinstance(admitted, Err):
            return admitted
        ticket = admitted.ok_value
        wait_result = wait(self._admission, ticket, self._now())
        if isinstance(wait_result, Err):
            return wait_result
        self._observe_wait(request, self._now() - requested_at)
        return Ok(ticket)

    def release(self, ticket: Ticket, tokens: float | None = None) -> None:
        """Release the ticket of a request and report the tokens it generated.

        `tokens` is None if the request was not answered.
        """
        self._admission.finish(ticket, tokens, self._now())


def chat_admission(
    call: ChatCall, configuration: Configuration | None, version: VersionId
) -> AdmissionRequest:
    """Return the admission request of a chat request."""
    declared = configuration.versions.get(version) if configuration else None
    return AdmissionRequest(
        call.head.team.name,
        call.work_class,
        pool_key(declared.pool if declared else ""),
        call.head.deadline,
        _max_tokens(call),
        uses_tokens=True,
    )


def service_admission(call: ServiceCall) -> AdmissionRequest:
    """Return the admission request of a call to a plain (non-model) service."""
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
