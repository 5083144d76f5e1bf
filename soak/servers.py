"""Scripts of the backend servers, which record each run and break some answers."""

import random
import time
from collections.abc import Callable, Iterator

import attrs

from soak.records import Run
from standins.scripted_server import (
    CloseConnectionError,
    ReceivedRequest,
    ResetConnectionError,
    chunk,
    event,
    misdirected_response,
    overloaded_response,
    response,
    stream_head,
)

# Body of the request that crashes each server that begins to run it.
DEADLY_BODY = b"deadly"
# Requests a second that a limited server names.
LIMITED_RATE = 2
# Requests a second that a cold server bears, and seconds for which it is cold after its
# start, as the configuration names them.
COLD_RATE, COLD_SECONDS = 6.0, 1.0
# Zones of the servers, two servers of different services in each.
ZONES = ("zone-a", "zone-b", "zone-c")
EVACUATED_ZONE = ZONES[1]
# Events of a complete stream, and the pause before each.
EVENT_COUNT = 10
EVENT_PAUSE_SECONDS = 0.03
# Time to produce a plain answer.
PLAIN_ANSWER_SECONDS = 0.015
# Share of requests whose answer a server breaks with one of the faults below.
FAULT_SHARE = 0.06
# Share of the small model's answers with low confidence.
LOW_CONFIDENCE_SHARE = 0.2

# "refused" and "reset" come before the request runs. A "strange" answer lacks the
# attempt id, an "unsigned" one the server stamp, and a "cut" one the end of its body.
PLAIN_FAULTS = ("refused", "reset", "run and reset", "strange", "unsigned", "cut")
STREAM_FAULTS = ("refused", "reset", "closed midway", "reset midway", "within an event")

_Chunks = Iterator[bytes]
# Yields the answer to a request, broken by the given fault.
_AnswerScript = Callable[[ReceivedRequest, str], _Chunks]


def server_zone(index: int) -> str:
    """Return the availability zone of a server."""
    return ZONES[index // 2 % len(ZONES)]


def plain_body(attempt_id: str) -> bytes:
    """Return the body of a complete plain answer."""
    return b"done " + attempt_id.encode()


def event_text(attempt_id: str, model: str) -> str:
    """Return the text that precedes the number in each event."""
    return f"{attempt_id}|{model}|"


@attrs.define
class SoakServer:
    """Script of one backend server; `runs` collects what it ran."""

    index: int
    runs: list[Run]
    rng: random.Random
    # Called as a deadly request crashes the server.
    on_crash: Callable[[], None]
    # Whether the server names a request rate.
    limited: bool = False
    arrivals: list[float] = attrs.field(factory=list)
    crashes: list[float] = attrs.field(factory=list)
    # Instance identifier in the store; a replacement at the same address has another.
    id: str = ""

    def plain(self, request: ReceivedRequest) -> Iterator[bytes]:
        """Yield the answer to a plain request."""
        yield from self._run(request, PLAIN_FAULTS, self._plain_answer)

    def stream(self, request: ReceivedRequest) -> Iterator[bytes]:
        """Yield a stream, resumed after the event that Last-Event-ID names."""
        yield from self._run(request, STREAM_FAULTS, self._stream_answer)

    def _run(
        self,
        request: ReceivedRequest,
        faults: tuple[str, ...],
        answer_script: _AnswerScript,
    ) -> _Chunks:
        """Refuse the request, or run it and record the run.

        All answers of a limited server name its limit.
        """
        self.arrivals.append(time.monotonic())
        limit = b"\r\nServer-Limit: %d\r\n\r\n" % LIMITED_RATE
        for number, data in enumerate(self._answer(request, faults, answer_script)):
            limited = self.limited and number == 0
            yield data.replace(b"\r\n\r\n", limit, 1) if limited else data

    def _answer(
        self,
        request: ReceivedRequest,
        faults: tuple[str, ...],
        answer_script: _AnswerScript,
    ) -> _Chunks:
        fault = self._choose_fault(request, faults)
        if fault not in ("refused", "misdirected") and request.body == DEADLY_BODY:
            self.crashes.append(time.monotonic())
            self.on_crash()
            raise ResetConnectionError
        if fault in ("refused", "misdirected", "reset"):
            yield from _refuse(fault)
            return
        run = Run(
            request.attempt_id, self.index, time.monotonic(), injected_fault=fault
        )
        self.runs.append(run)
        try:
            yield from answer_script(request, fault)
        finally:
            run.ended_at = time.monotonic()

    def _choose_fault(self, request: ReceivedRequest, faults: tuple[str, ...]) -> str:
        if request.headers.get("x-masticfork-expect-instance") != self.id:
            return "misdirected"
        return self.rng.choice(faults) if self.rng.random() < FAULT_SHARE else ""

    def _plain_answer(self, request: ReceivedRequest, fault: str) -> Iterator[bytes]:
        time.sleep(PLAIN_ANSWER_SECONDS)
        body = plain_body(request.attempt_id)
        if fault == "run and reset":
            raise ResetConnectionError
        if fault == "strange":
            yield response(attrs.evolve(request, headers={}), body)
        elif fault == "unsigned":
            signed = response(request, body)
            yield signed.replace(b"X-Masticfork-Server-Stamp: s1\r\n", b"")
        elif fault == "cut":
            yield response(request, body)[:-3]
            raise CloseConnectionError
        else:
            yield response(request, body)

    def _stream_answer(self, request: ReceivedRequest, fault: str) -> Iterator[bytes]:
        model = request.headers.get("x-masticfork-model", "")
        text = event_text(request.attempt_id, model)
        low_confidence = model == "small" and self.rng.random() < LOW_CONFIDENCE_SHARE
        yield stream_head(request, 10 if low_confidence else 90)
        first = int(request.headers.get("last-event-id", "0")) + 1
        for number in range(first, EVENT_COUNT + 1):
            time.sleep(EVENT_PAUSE_SECONDS)
            data = event(number, text)
            if fault and number >= EVENT_COUNT // 2:
                if fault == "within an event":
                    yield chunk(data[:7])
                failure = ResetConnectionError if "reset" in fault else None
                raise failure or CloseConnectionError
            yield chunk(data)
        yield b"0\r\n\r\n"


def _refuse(fault: str) -> Iterator[bytes]:
    if fault == "reset":
        raise ResetConnectionError
    yield misdirected_response() if fault == "misdirected" else overloaded_response()
