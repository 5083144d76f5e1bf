import json
import socket
import time

import pytest

from proofs.calling import CHAT_PATH, TEAM, Caller, chat_body
from proofs.counting import generations
from tools import launch
from tools.launch_files import LOOPBACK
from tools.launch_options import Options

MAX_BODY_BYTES = 20_000
MAX_HEADERS = 30
MAX_HEADER_BYTES = 8_000
READ_SECONDS = 10.0
OPTIONS = Options(
    hosts=1,
    engines_per_pool=1,
    service_servers=1,
    tokens=4,
    token_seconds=0.005,
    first_token_seconds=0,
    settings={
        "entry": {
            "max_body_bytes": MAX_BODY_BYTES,
            "max_header_count": MAX_HEADERS,
            "max_header_bytes": MAX_HEADER_BYTES,
            "threads": 4,
        }
    },
)


@pytest.fixture(scope="module")
def cluster():
    with launch.start(OPTIONS) as running:
        yield running


def body(**changes):
    return json.dumps(chat_body("hello") | changes).encode()


def message(content):
    return body(messages=[{"role": "user", "content": content}])


# Name, body, further headers, expected status and code.
REFUSED = [
    ("not JSON", b'{"model": ', {}, 400, "malformed"),
    ("not UTF-8", b'{"model": "\xff"}', {}, 400, "malformed"),
    ("empty", b"", {}, 400, "malformed"),
    ("a list", b"[]", {}, 400, "malformed"),
    ("deeply nested", b"[" * 9000, {}, 400, "malformed"),
    ("model of a wrong type", body(model=7), {}, 400, "malformed"),
    ("messages of a wrong type", body(messages="hello"), {}, 400, "malformed"),
    ("a message of a wrong type", body(messages=[1]), {}, 400, "malformed"),
    ("content of a wrong type", message(7), {}, 400, "malformed"),
    ("stream of a wrong type", body(stream="yes"), {}, 400, "malformed"),
    ("tokens of a wrong type", body(max_tokens="many"), {}, 400, "malformed"),
    ("tokens below zero", body(max_tokens=-1), {}, 400, "malformed"),
    ("options of a wrong type", body(stream_options=[1]), {}, 400, "malformed"),
    ("body over the limit", message("x" * MAX_BODY_BYTES), {}, 413, "body_too_large"),
    (
        "body far over the limit",
        message("x" * 10 * MAX_BODY_BYTES),
        {},
        413,
        "body_too_large",
    ),
    ("too many headers", body(), {f"X-{n}": "1" for n in range(40)}, 400, "malformed"),
    ("headers too long", body(), {"X-Long": "x" * 9000}, 400, "malformed"),
    ("headers far too long", body(), {"X-Long": "x" * 40_000}, 431, "malformed"),
    ("unknown model", body(model="no-such"), {}, 404, "model_unknown"),
    ("no key", body(), {"Authorization": ""}, 401, "key_missing"),
    ("wrong key", body(), {"Authorization": "Bearer no"}, 401, "key_wrong"),
    ("past deadline", body(), {"Masticfork-Deadline": "1"}, 504, "deadline_expired"),
    ("no deadline", body(), {"Masticfork-Deadline": "soon"}, 400, "malformed"),
    ("infinite deadline", body(), {"Masticfork-Deadline": "inf"}, 400, "malformed"),
    ("key too long", body(), {"Idempotency-Key": "k" * 300}, 400, "malformed"),
    ("forged session", body(), {"Masticfork-Session": "a.b"}, 400, "session_invalid"),
    ("unknown class", body(), {"Masticfork-Class": "soon"}, 400, "malformed"),
]


def exchange(cluster, data):
    """Send raw bytes and return everything that comes back."""
    place = (LOOPBACK, cluster.places[0].entry_port)
    with socket.create_connection(place, READ_SECONDS) as opened:
        opened.sendall(data)
        received = b""
        while part := opened.recv(1 << 16):
            received += part
    return received


def request(cluster, sent, headers):
    key = cluster.secrets.team_keys[TEAM]
    named = {"Authorization": f"Bearer {key}", "Host": "h", "Connection": "close"}
    named |= {"Content-Length": str(len(sent))} | headers
    lines = "".join(f"{name}: {value}\r\n" for name, value in named.items() if value)
    return f"POST {CHAT_PATH} HTTP/1.1\r\n{lines}\r\n".encode() + sent


def parsed(received):
    head, _, sent = received.partition(b"\r\n\r\n")
    return int(head.split()[1]), json.loads(sent)


class TestRefusals:
    @pytest.mark.parametrize(
        ("sent", "headers", "status", "code"),
        [row[1:] for row in REFUSED],
        ids=[row[0] for row in REFUSED],
    )
    def test_typed_and_nothing_run(self, cluster, sent, headers, status, code):
        before = len(generations(cluster))
        answered = parsed(exchange(cluster, request(cluster, sent, headers)))
        error = answered[1]["error"]
        assert (answered[0], error["code"]) == (status, code), error
        assert error["run_state"] == "not_run"
        assert len(generations(cluster)) == before

    def test_a_model_of_other_teams(self, cluster):
        before = len(generations(cluster))
        answer = Caller(cluster, "catalogue").chat(0, "hello", model="linen-large")
        assert answer.status == 403
        assert answer.body["error"]["run_state"] == "not_run"
        assert len(generations(cluster)) == before

    def test_a_service_of_other_teams(self, cluster):
        assert Caller(cluster, "catalogue").look_up(0).status == 404

    @pytest.mark.parametrize(
        "data",
        [b"\x16\x03\x01\x02\x00\x01\r\n\r\n", b"GET\r\n\r\n", b"POST / HTTP/9\r\n\r\n"],
    )
    def test_what_is_no_http_ends_the_connection(self, cluster, data):
        exchange(cluster, data)
        assert Caller(cluster).look_up(0).status == 200


class TestSlowCallers:
    def test_bodies_that_never_end_hold_no_thread(self, cluster):
        place = (LOOPBACK, cluster.places[0].entry_port)
        whole = request(cluster, body(), {})
        slow = [socket.create_connection(place, READ_SECONDS) for _ in range(12)]
        try:
            for opened in slow:
                opened.sendall(whole[:-10])
            assert Caller(cluster).look_up(0).status == 200
            time.sleep(0.2)
            # The rest arrives late, a byte at a time, and is served.
            for byte in whole[-10:]:
                slow[0].sendall(bytes([byte]))
                time.sleep(0.01)
            assert slow[0].recv(100).startswith(b"HTTP/1.1 200")
        finally:
            for opened in slow:
                opened.close()

    def test_a_caller_gone_before_its_body_runs_nothing(self, cluster):
        before = len(generations(cluster))
        place = (LOOPBACK, cluster.places[0].entry_port)
        with socket.create_connection(place, READ_SECONDS) as opened:
            opened.sendall(request(cluster, body(), {})[:-10])
        assert Caller(cluster).look_up(0).status == 200
        assert len(generations(cluster)) == before
