"""Start everything on one machine, serve requests, tell what happened, stop."""

import http.client
import itertools
import json
import statistics
import sys
import time
import uuid
from collections.abc import Callable, Iterator
from concurrent.futures import ThreadPoolExecutor
from typing import Any

import attrs

from standins.engine_answers import AnswerText
from standins.testing import Ask
from tools.launch import Cluster, start
from tools.launch_files import LOOPBACK, SERVICE
from tools.launch_options import Options
from tools.processes import StartError

CALLERS = 8
CHATS = 12
LOOKUPS = 12
RESERVATIONS = 4
CALL_SECONDS = 30.0
CHAT_PATH = "/v1/chat/completions"
MODELS = ("linen-small", "linen-large")
WRITERS = ("order-desk", "quote-desk")
COLUMNS = "{:<34}{:>9}{:>9}{:>16}{:>12}"


@attrs.frozen
class Outcome:
    """What became of one request; times in seconds."""

    expected: bool
    seconds: float
    first_token_seconds: float | None = None
    note: str = ""


@attrs.frozen
class Row:
    """One kind of request in the table."""

    title: str
    outcomes: list[Outcome]

    @property
    def expected(self) -> int:
        """Return how many requests ended as expected."""
        return sum(outcome.expected for outcome in self.outcomes)

    def __str__(self) -> str:
        firsts = [o.first_token_seconds for o in self.outcomes if o.first_token_seconds]
        seconds = [outcome.seconds for outcome in self.outcomes]
        return COLUMNS.format(
            self.title,
            len(self.outcomes),
            self.expected,
            _milliseconds(firsts) if firsts else "-",
            _milliseconds(seconds),
        )


class Demo:
    """Requests of several teams at all hosts of a cluster."""

    def __init__(self, cluster: Cluster) -> None:
        self._cluster = cluster
        self._ports = [place.entry_port for place in cluster.places]

    def run(self) -> Iterator[Row]:
        """Send all requests, yield a row for each kind of them."""
        chats = [self._chat(number) for number in range(CHATS)]
        streams = [self._stream(number) for number in range(CHATS)]
        lookups = [self._lookup(number) for number in range(LOOKUPS)]
        repeated = [self._reservation(number) for number in range(RESERVATIONS)]
        refused = [self._wrong_key, self._model_not_allowed]
        with ThreadPoolExecutor(CALLERS) as pool:
            for title, calls in (
                ("chat", chats),
                ("streamed chat", streams),
                ("stock lookup", lookups),
                ("reservation, twice on two hosts", repeated),
                ("wrong key or model: refused", refused),
            ):
                yield Row(title, list(pool.map(_guarded, calls)))

    def _headers(self, team: str, key: str | None = None) -> dict[str, str]:
        headers = {"Authorization": f"Bearer {self._cluster.secrets.team_keys[team]}"}
        return headers | ({"Idempotency-Key": key} if key else {})

    def _port(self, number: int) -> int:
        return self._ports[number % len(self._ports)]

    def _chat(self, number: int) -> Callable[[], Outcome]:
        def call() -> Outcome:
            text, headers = _text("chat", number), self._headers(_of(WRITERS, number))
            begun = time.monotonic()
            ask = Ask(self._port(number))
            status, body = ask("POST", CHAT_PATH, _body(number, text), headers)
            seconds = time.monotonic() - begun
            if status != 200:
                return Outcome(False, seconds, note=f"{status} {body}")
            content = body["choices"][0]["message"]["content"]
            whole = _is_whole(content, body["model"], text, body["usage"])
            return Outcome(whole, seconds, note=content)

        return call

    def _stream(self, number: int) -> Callable[[], Outcome]:
        def call() -> Outcome:
            text, headers = _text("stream", number), self._headers(_of(WRITERS, number))
            options = {"stream": True, "stream_options": {"include_usage": True}}
            body = json.dumps(_body(number, text) | options)
            port = self._port(number)
            connection = http.client.HTTPConnection(LOOPBACK, port, CALL_SECONDS)
            begun = time.monotonic()
            connection.request("POST", CHAT_PATH, body, headers)
            answer = connection.getresponse()
            if answer.status != 200:
                note = f"{answer.status} {answer.read()!r}"
                return Outcome(False, time.monotonic() - begun, note=note)
            chunks = _chunks(answer)
            first = next(chunks)
            first_at = time.monotonic()
            rest = list(chunks)
            connection.close()
            content = "".join(map(_content, [first, *rest]))
            usage = rest[-1].get("usage") or {}
            whole = _is_whole(content, first["model"], text, usage)
            seconds = time.monotonic() - begun
            return Outcome(whole, seconds, first_at - begun, content)

        return call

    def _lookup(self, number: int) -> Callable[[], Outcome]:
        def call() -> Outcome:
            item, headers = f"canvas-{number}", self._headers("warehouse")
            begun = time.monotonic()
            ask = Ask(self._port(number))
            path = f"/services/{SERVICE}/stock/{item}"
            status, body = ask("GET", path, headers=headers)
            right = status == 200 and body["item"] == item
            return Outcome(right, time.monotonic() - begun, note=f"{status} {body}")

        return call

    def _reservation(self, number: int) -> Callable[[], Outcome]:
        def call() -> Outcome:
            key = uuid.uuid4().hex
            headers = self._headers("order-desk", key)
            path, body = f"/services/{SERVICE}/reservations", {"pallet": number}
            begun = time.monotonic()
            answers = [
                Ask(self._port(host))("POST", path, body, headers)
                for host in (number, number + 1)
            ]
            seconds = time.monotonic() - begun
            runs = self._runs(key)
            right = answers[0][0] == 201 and answers[0] == answers[1] and runs == 1
            return Outcome(right, seconds, note=f"{answers}, ran {runs} times")

        return call

    def _runs(self, key: str) -> int:
        names = [s.name for s in self._cluster.servers if s.group == SERVICE]
        counts = [self._cluster.ask(name)("GET", "/_counts")[1] for name in names]
        return sum(count["runs"].get(key, 0) for count in counts)

    def _wrong_key(self) -> Outcome:
        headers = {"Authorization": "Bearer wrong"}
        return self._refused(headers, MODELS[0], 401)

    def _model_not_allowed(self) -> Outcome:
        return self._refused(self._headers("catalogue"), MODELS[1], 403)

    def _refused(self, headers: dict[str, str], model: str, expected: int) -> Outcome:
        begun = time.monotonic()
        body = _body(0, _text("refused", 0)) | {"model": model}
        status, answer = Ask(self._port(0))("POST", CHAT_PATH, body, headers)
        not_run = status == expected and answer["error"]["run_state"] == "not_run"
        return Outcome(not_run, time.monotonic() - begun, note=f"{status} {answer}")


def _guarded(call: Callable[[], Outcome]) -> Outcome:
    """Turn a broken connection or answer into an outcome."""
    begun = time.monotonic()
    try:
        return call()
    except (OSError, http.client.HTTPException, ValueError, LookupError) as error:
        return Outcome(False, time.monotonic() - begun, note=repr(error))


def _of(values: tuple[str, ...], number: int) -> str:
    return values[number % len(values)]


def _text(kind: str, number: int) -> str:
    return f"Draft {kind} {number}: three lines on primed linen canvas, 10 m rolls."


def _body(number: int, text: str) -> dict[str, Any]:
    # Every model is asked by every team in turn.
    model = _of(MODELS, number // len(WRITERS))
    return {"model": model, "messages": [{"role": "user", "content": text}]}


def _chunks(answer: http.client.HTTPResponse) -> Iterator[dict[str, Any]]:
    """Yield the chunks of a stream; ValueError where it does not end whole."""
    for line in answer:
        data = line.decode().strip().removeprefix("data: ")
        if data == "[DONE]":
            return
        if line.startswith(b"data: "):
            yield json.loads(data)
    raise ValueError("the stream ended without [DONE]")


def _content(chunk: dict[str, Any]) -> str:
    choices = chunk["choices"]
    return str(choices[0]["delta"].get("content") or "") if choices else ""


def _is_whole(content: str, version: str, text: str, usage: dict[str, Any]) -> bool:
    """Tell whether an answer is exactly what the version's engine generates."""
    tokens = usage.get("completion_tokens", 0)
    return tokens > 0 and content == AnswerText.of(version, text).text(tokens)


def _milliseconds(seconds: list[float]) -> str:
    return f"{statistics.median(seconds) * 1000:.0f} ms"


def main() -> int:
    """Run the demonstration; return 0 where everything ended as expected."""
    begun = time.monotonic()
    options = Options(token_seconds=0.01, first_token_seconds=0.05, tokens=32)
    try:
        with start(options) as cluster:
            ready = time.monotonic() - begun
            hosts, programs = len(cluster.hosts), len(cluster.pids)
            print(f"{programs} programs, {hosts} of them entry hosts: {ready:.1f} s")
            print()
            header = ("request", "sent", "expected", "first token p50", "whole p50")
            print(COLUMNS.format(*header))
            rows = []
            for row in Demo(cluster).run():
                print(row, flush=True)
                rows.append(row)
    except StartError as error:
        print(error, file=sys.stderr)
        return 1
    outcomes = list(itertools.chain.from_iterable(row.outcomes for row in rows))
    unexpected = [outcome for outcome in outcomes if not outcome.expected]
    print()
    print(f"{len(outcomes) - len(unexpected)} of {len(outcomes)} as expected; stopped")
    for outcome in unexpected:
        print(f"unexpected: {outcome.note}")
    return 1 if unexpected else 0


if __name__ == "__main__":
    sys.exit(main())
