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
READ_TIMEOUT_SECONDS = 10.0
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


def body_with_content(content):
    return body(messages=[{"role": "user", "content": content}])


# Test id, body, extra headers, expected status and error code.
INVALID_REQUESTS = [
    ("not JSON", b'{"model": ', {}, 400, "malformed"),
    ("not UTF-8", b'{"model": "\xff"}', {}, 400, "malformed"),
    ("empty", b"", {}, 400, "malformed"),
    ("a list", b"[]", {}, 400, "malformed"),
    ("deeply nested", b"[" * 9000, {}, 400, "malformed"),
    ("model of a wrong type", body(model=7), {}, 400, "malformed"),
    ("messages of a wrong type", body(messages="hello"), {}, 400, "malformed"),
    ("a message of a wrong type", body(messages=[1]), {}, 400, "malformed"),
    ("content of a wrong type", body_with_content(7), {}, 400, "malformed"),
    ("stream of a wrong type", body(stream="yes"), {}, 400, "malformed"),
    ("tokens of a wrong type", body(max_tokens="many"), {}, 400, "malformed"),
    ("tokens below zero", body(max_tokens=-1), {}, 400, "malformed"),
    ("options of a wrong type", body(stream_options=[1]), {}, 400, "malformed"),
    (
        "body over the limit",
        body_with_content("x" * MAX_BODY_BYTES),
        {},
        413,
        "body_too_large",
    ),
    (
        "body far over the limit",
        body_with_content("x" * 10 * MAX_BODY_BYTES),
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
    (
        "deadline not a number",
        body(),
        {"Masticfork-Deadline": "soon"},
        400,
        "malformed",
    ),
    ("infinite deadline", body(), {"Masticfork-Deadline": "inf"}, 400, "malformed"),
    ("key too long", body(), {"Idempotency-Key": "k" * 300}, 400, "malformed"),
    ("forged session", body(), {"Masticfork-Session": "a.b"}, 400, "session_invalid"),
    ("unknown class", body(), {"Masticfork-Class": "soon"}, 400, "malformed"),
]


def exchange_raw(cluster, data):
    """Send raw bytes; return everything received until the host closes."""
    address = (LOOPBACK, cluster.entry_hosts[0].entry_port)
    with socket.create_connection(address, READ_TIMEOUT_SECONDS) as connection:
        connection.sendall(data)
        received = b""
        while chunk := connection.recv(1 << 16):
            received += chunk
    return received


def raw_request(cluster, payload, headers):
    key = cluster.secrets.team_keys[TEAM]
    all_headers = {"Authorization": f"Bearer {key}", "Host": "h", "Connection": "close"}
    all_headers |= {"Content-Length": str(len(payload))} | headers
    header_lines = "".join(
        f"{name}: {value}\r\n" for name, value in all_headers.items() if value
    )
    return f"POST {CHAT_PATH} HTTP/1.1\r\n{header_lines}\r\n".encode() + payload


def parse_response(received):
    head, _, payload = received.partition(b"\r\n\r\n")
    return int(head.split()[1]), json.loads(payload)


class TestInvalidRequests:
    @pytest.mark.parametrize(
        ("payload", "headers", "status", "code"),
        [row[1:] for row in INVALID_REQUESTS],
        ids=[row[0] for row in INVALID_REQUESTS],
    )
    def test_get_a_typed_error_and_nothing_runs(
        self, cluster, payload, headers, status, code
    ):
        count_before = len(generations(cluster))
        status_and_body = parse_response(
            exchange_raw(cluster, raw_request(cluster, payload, headers))
        )
        error = status_and_body[1]["error"]
        assert (status_and_body[0], error["code"]) == (status, code), error
        assert error["run_state"] == "not_run"
        assert len(generations(cluster)) == count_before

    def test_model_of_another_team_is_forbidden(self, cluster):
        count_before = len(generations(cluster))
        response = Caller(cluster, "catalogue").chat(0, "hello", model="linen-large")
        assert response.status == 403
        assert response.body["error"]["run_state"] == "not_run"
        assert len(generations(cluster)) == count_before

    def test_service_of_another_team_is_not_found(self, cluster):
        assert Caller(cluster, "catalogue").look_up(0).status == 404

    @pytest.mark.parametrize(
        "data",
        [b"\x16\x03\x01\x02\x00\x01\r\n\r\n", b"GET\r\n\r\n", b"POST / HTTP/9\r\n\r\n"],
    )
    def test_data_that_is_not_http_closes_the_connection(self, cluster, data):
        exchange_raw(cluster, data)
        assert Caller(cluster).look_up(0).status == 200


class TestSlowCallers:
    def test_incomplete_bodies_occupy_no_thread(self, cluster):
        address = (LOOPBACK, cluster.entry_hosts[0].entry_port)
        full_request = raw_request(cluster, body(), {})
        connections = [
            socket.create_connection(address, READ_TIMEOUT_SECONDS) for _ in range(12)
        ]
        try:
            for connection in connections:
                connection.sendall(full_request[:-10])
            assert Caller(cluster).look_up(0).status == 200
            time.sleep(0.2)
            # The rest of a body may arrive late and a byte at a time.
            for byte in full_request[-10:]:
                connections[0].sendall(bytes([byte]))
                time.sleep(0.01)
            assert connections[0].recv(100).startswith(b"HTTP/1.1 200")
        finally:
            for connection in connections:
                connection.close()

    def test_disconnect_in_mid_body_runs_nothing(self, cluster):
        count_before = len(generations(cluster))
        address = (LOOPBACK, cluster.entry_hosts[0].entry_port)
        with socket.create_connection(address, READ_TIMEOUT_SECONDS) as connection:
            connection.sendall(raw_request(cluster, body(), {})[:-10])
        assert Caller(cluster).look_up(0).status == 200
        assert len(generations(cluster)) == count_before
