"""Backend servers of a soak: what they run is recorded, and some answers are spoilt."""

import random
import time
from collections.abc import Callable, Iterator

import attrs

from soak.records import Run
from standins.scripted_server import (
    Asked,
    CloseConnectionError,
    ResetConnectionError,
    answer,
    chunk,
    event,
    refusal,
    stream_head,
)

# Events of a whole stream, and the pause before each in seconds.
EVENTS = 10
EVENT_PAUSE = 0.03
# Seconds that a plain answer takes.
PLAIN_SECONDS = 0.015
# Share of the requests that a server spoils, each in one of the ways below.
SPOILT_SHARE = 0.06
# Share of a small model's answers with a low confidence.
UNSURE_SHARE = 0.2

PLAIN_SPOILS = ("refused", "reset", "run and reset", "strange", "unsigned", "cut")
STREAM_SPOILS = ("refused", "reset", "closed midway", "reset midway", "within an event")

_Bytes = Iterator[bytes]
# Yields the answer to a request, spoilt in the way that is named.
_Answer = Callable[[Asked, str], _Bytes]


def plain_body(attempt_id: str) -> bytes:
    """Return the body of the whole answer to a plain request."""
    return b"done " + attempt_id.encode()


def event_text(attempt_id: str, model: str) -> str:
    """Return what stands in each event before its number."""
    return f"{attempt_id}|{model}|"


@attrs.define
class SoakServer:
    """The script of one server."""

    index: int
    runs: list[Run]
    source: random.Random
    # Identifier in the store; another process at the same address has another one.
    id: str = ""

    def plain(self, asked: Asked) -> Iterator[bytes]:
        """Answer a plain request."""
        yield from self._serve(asked, PLAIN_SPOILS, self._plain_answer)

    def stream(self, asked: Asked) -> Iterator[bytes]:
        """Answer a stream after the last event that the caller has."""
        yield from self._serve(asked, STREAM_SPOILS, self._events)

    def _serve(self, asked: Asked, ways: tuple[str, ...], run: _Answer) -> _Bytes:
        """Refuse a request, or run it and record that."""
        spoil = self._spoil(asked, ways)
        if spoil in ("refused", "reset"):
            yield from _not_run(spoil)
            return
        record = Run(asked.attempt_id, self.index, time.monotonic(), sabotage=spoil)
        self.runs.append(record)
        try:
            yield from run(asked, spoil)
        finally:
            record.ended_at = time.monotonic()

    def _spoil(self, asked: Asked, ways: tuple[str, ...]) -> str:
        if asked.headers.get("x-masticfork-expect-instance") != self.id:
            return "refused"
        return self.source.choice(ways) if self.source.random() < SPOILT_SHARE else ""

    def _plain_answer(self, asked: Asked, spoil: str) -> Iterator[bytes]:
        time.sleep(PLAIN_SECONDS)
        body = plain_body(asked.attempt_id)
        if spoil == "run and reset":
            raise ResetConnectionError
        if spoil == "strange":
            yield answer(attrs.evolve(asked, headers={}), body)
        elif spoil == "unsigned":
            whole = answer(asked, body)
            yield whole.replace(b"X-Masticfork-Server-Stamp: s1\r\n", b"")
        elif spoil == "cut":
            yield answer(asked, body)[:-3]
            raise CloseConnectionError
        else:
            yield answer(asked, body)

    def _events(self, asked: Asked, spoil: str) -> Iterator[bytes]:
        model = asked.headers.get("x-masticfork-model", "")
        text = event_text(asked.attempt_id, model)
        unsure = model == "small" and self.source.random() < UNSURE_SHARE
        yield stream_head(asked, 10 if unsure else 90)
        first = int(asked.headers.get("last-event-id", "0")) + 1
        for number in range(first, EVENTS + 1):
            time.sleep(EVENT_PAUSE)
            data = event(number, text)
            if spoil and number >= EVENTS // 2:
                if spoil == "within an event":
                    yield chunk(data[:7])
                failure = ResetConnectionError if "reset" in spoil else None
                raise failure or CloseConnectionError
            yield chunk(data)
        yield b"0\r\n\r\n"


def _not_run(spoil: str) -> Iterator[bytes]:
    if spoil == "reset":
        raise ResetConnectionError
    yield refusal()
