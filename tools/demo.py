"""Start a local cluster, send it requests of each kind, print a table and stop."""

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
from standins.testing import HttpClient
from tools.launch import Cluster, start
from tools.launch_files import LOOPBACK, SERVICE
from tools.launch_options import Options
from tools.processes import StartError

CALLER_THREADS = 8
CHAT_COUNT = 12
LOOKUP_COUNT = 12
RESERVATION_COUNT = 4
CALL_TIMEOUT_SECONDS = 30.0
CHAT_PATH = "/v1/chat/completions"
MODELS = ("linen-small", "linen-large")
TEAMS = ("order-desk", "quote-desk")
ROW_FORMAT = "{:<34}{:>9}{:>9}{:>16}{:>12}"


@attrs.frozen
class Outcome:
    """Result of one request; `note` has the answer or the error."""

    expected: bool
    seconds: float
    first_token_seconds: float | None = None
    note: str = ""


@attrs.frozen
class Row:
    """Table row: the outcomes of one kind of request."""

    title: str
    outcomes: list[Outcome]

    @property
    def expected(self) -> int:
        """Return the number of requests that ended as expected."""
        return sum(outcome.expected for outcome in self.outcomes)

    def __str__(self) -> str:
        first_tokens = [
            o.first_token_seconds for o in self.outcomes if o.first_token_seconds
        ]
        seconds = [outcome.seconds for outcome in self.outcomes]
        return ROW_FORMAT.format(
            self.title,
            len(self.outcomes),
            self.expected,
            _milliseconds(first_tokens) if first_tokens else "-",
            _milliseconds(seconds),
        )


class Demo:
    """Sends requests of several teams to all hosts of a cluster."""

    def __init__(self, cluster: Cluster) -> None:
        self._cluster = cluster
        self._ports = [place.entry_port for place in cluster.entry_hosts]

    def run(self) -> Iterator[Row]:
        """Send all requests, one kind after the other; yield a row per kind."""
        chats = [self._chat(number) for number in range(CHAT_COUNT)]
        streams = [self._stream(number) for number in range(CHAT_COUNT)]
        lookups = [self._lookup(number) for number in range(LOOKUP_COUNT)]
        reservations = [
            self._reservation(number) for number in range(RESERVATION_COUNT)
        ]
        refused = [self._wrong_key, self._model_not_allowed]
        with ThreadPoolExecutor(CALLER_THREADS) as pool:
            for title, calls in (
                ("chat", chats),
                ("streamed chat", streams),
                ("stock lookup", lookups),
                ("reservation, twice on two hosts", reservations),
                ("wrong key or model: refused", refused),
            ):
                yield Row(title, list(pool.map(_catch_errors, calls)))

    def _headers(self, team: str, key: str | None = None) -> dict[str, str]:
        headers = {"Authorization": f"Bearer {self._cluster.secrets.team_keys[team]}"}
        return headers | ({"Idempotency-Key": key} if key else {})

    def _port(self, number: int) -> int:
        return self._ports[number % len(self._ports)]

    def _chat(self, number: int) -> Callable[[], Outcome]:
        def call() -> Outcome:
            text, headers = _text("chat", number), self._headers(_pick(TEAMS, number))
            started_at = time.monotonic()
            ask = HttpClient(self._port(number))
            status, body = ask("POST", CHAT_PATH, _body(number, text), headers)
            seconds = time.monotonic() - started_at
            if status != 200:
                return Outcome(False, seconds, note=f"{status} {body}")
            content = body["choices"][0]["message"]["content"]
            correct = _is_expected_answer(content, body["model"], text, body["usage"])
            return Outcome(correct, seconds, note=content)

        return call

    def _stream(self, number: int) -> Callable[[], Outcome]:
        def call() -> Outcome:
            text, headers = _text("stream", number), self._headers(_pick(TEAMS, number))
            options = {"stream": True, "stream_options": {"include_usage": True}}
            body = json.dumps(_body(number, text) | options)
            port = self._port(number)
            connection = http.client.HTTPConnection(
                LOOPBACK, port, CALL_TIMEOUT_SECONDS
            )
            started_at = time.monotonic()
            connection.request("POST", CHAT_PATH, body, headers)
            answer = connection.getresponse()
            if answer.status != 200:
                note = f"{answer.status} {answer.read()!r}"
                return Outcome(False, time.monotonic() - started_at, note=note)
            chunks = _chunks(answer)
            first = next(chunks)
            first_token_at = time.monotonic()
            rest = list(chunks)
            connection.close()
            content = "".join(map(_content, [first, *rest]))
            usage = rest[-1].get("usage") or {}
            correct = _is_expected_answer(content, first["model"], text, usage)
            seconds = time.monotonic() - started_at
            return Outcome(correct, seconds, first_token_at - started_at, content)

        return call

    def _lookup(self, number: int) -> Callable[[], Outcome]:
        def call() -> Outcome:
            item, headers = f"canvas-{number}", self._headers("warehouse")
            started_at = time.monotonic()
            ask = HttpClient(self._port(number))
            path = f"/services/{SERVICE}/stock/{item}"
            status, body = ask("GET", path, headers=headers)
            correct = status == 200 and body["item"] == item
            return Outcome(
                correct, time.monotonic() - started_at, note=f"{status} {body}"
            )

        return call

    def _reservation(self, number: int) -> Callable[[], Outcome]:
        def call() -> Outcome:
            key = uuid.uuid4().hex
            headers = self._headers("order-desk", key)
            path, body = f"/services/{SERVICE}/reservations", {"pallet": number}
            started_at = time.monotonic()
            answers = [
                HttpClient(self._port(host))("POST", path, body, headers)
                for host in (number, number + 1)
            ]
            seconds = time.monotonic() - started_at
            runs = self._count_runs(key)
            correct = answers[0][0] == 201 and answers[0] == answers[1] and runs == 1
            return Outcome(correct, seconds, note=f"{answers}, ran {runs} times")

        return call

    def _count_runs(self, key: str) -> int:
        names = [s.name for s in self._cluster.servers if s.group == SERVICE]
        counts = [self._cluster.client(name)("GET", "/_counts")[1] for name in names]
        return sum(count["runs"].get(key, 0) for count in counts)

    def _wrong_key(self) -> Outcome:
        headers = {"Authorization": "Bearer wrong"}
        return self._expect_refusal(headers, MODELS[0], 401)

    def _model_not_allowed(self) -> Outcome:
        return self._expect_refusal(self._headers("catalogue"), MODELS[1], 403)

    def _expect_refusal(
        self, headers: dict[str, str], model: str, expected: int
    ) -> Outcome:
        started_at = time.monotonic()
        body = _body(0, _text("refused", 0)) | {"model": model}
        status, answer = HttpClient(self._port(0))("POST", CHAT_PATH, body, headers)
        not_run = status == expected and answer["error"]["run_state"] == "not_run"
        return Outcome(
            not_run, time.monotonic() - started_at, note=f"{status} {answer}"
        )


def _catch_errors(call: Callable[[], Outcome]) -> Outcome:
    """Run `call`; return a failed outcome if the connection or the answer is broken."""
    started_at = time.monotonic()
    try:
        return call()
    except (OSError, http.client.HTTPException, ValueError, LookupError) as error:
        return Outcome(False, time.monotonic() - started_at, note=repr(error))


def _pick(values: tuple[str, ...], number: int) -> str:
    return values[number % len(values)]


def _text(kind: str, number: int) -> str:
    return f"Draft {kind} {number}: three lines on primed linen canvas, 10 m rolls."


def _body(number: int, text: str) -> dict[str, Any]:
    # Rotate the models more slowly than the teams, so that each team uses each model.
    model = _pick(MODELS, number // len(TEAMS))
    return {"model": model, "messages": [{"role": "user", "content": text}]}


def _chunks(answer: http.client.HTTPResponse) -> Iterator[dict[str, Any]]:
    """Yield the chunks of a stream; raise ValueError if it ends without [DONE]."""
    for line in answer:
        data = line.decode().strip().removeprefix("data: ")
        if data == "[DONE]":
            return
        if line.startswith(b"data: "):
            yield json.loads(data)
    raise ValueError("stream ended without [DONE]")


def _content(chunk: dict[str, Any]) -> str:
    choices = chunk["choices"]
    return str(choices[0]["delta"].get("content") or "") if choices else ""


def _is_expected_answer(
    content: str, version: str, text: str, usage: dict[str, Any]
) -> bool:
    """Return whether an answer is exactly what an engine of `version` generates."""
    tokens = usage.get("completion_tokens", 0)
    return tokens > 0 and content == AnswerText.of(version, text).text(tokens)


def _milliseconds(seconds: list[float]) -> str:
    return f"{statistics.median(seconds) * 1000:.0f} ms"


def main() -> int:
    """Run the demonstration; return 0 if all requests ended as expected, else 1."""
    started_at = time.monotonic()
    options = Options(token_seconds=0.01, first_token_seconds=0.05, tokens=32)
    try:
        with start(options) as cluster:
            startup = time.monotonic() - started_at
            hosts, programs = len(cluster.hosts), len(cluster.pids)
            print(f"{programs} programs ({hosts} entry hosts) ready in {startup:.1f} s")
            print()
            header = ("request", "sent", "expected", "first token p50", "total p50")
            print(ROW_FORMAT.format(*header))
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
