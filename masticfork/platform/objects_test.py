"""Tests of the object store's client: malformed pages, and the era of responses."""

import http.server
import json
import socket
import threading
import time
import tracemalloc

import pytest

from masticfork.core.deadlines import Deadline
from masticfork.core.store_position import StorePosition
from masticfork.platform.fields import is_text
from masticfork.platform.object_fields import OMITTED, UNREADABLE, reduce_object
from masticfork.platform.objects import (
    MAX_WATCH_BYTES,
    PlatformObject,
    PlatformObjects,
    bounded_object,
)
from masticfork.store.client import ErrorKind


def stored(name, revision=5):
    return {"metadata": {"name": name, "revision": revision}, "spec": {}}


def page(*items, truncated=False, revision=9):
    return {"items": list(items), "truncated": truncated, "store_revision": revision}


def soon():
    return Deadline.after(time.monotonic(), 2.0)


@pytest.fixture
def store():
    """Return a client and the list of responses: (status, era header, JSON body)."""
    responses, requests = [], []

    class Handler(http.server.BaseHTTPRequestHandler):
        protocol_version = "HTTP/1.1"

        def respond(self):
            length = int(self.headers.get("Content-Length", 0))
            requests.append((self.path, self.rfile.read(length)))
            status, era, value = responses.pop(0)
            body = json.dumps(value).encode()
            self.send_response(status)
            if era is not None:
                self.send_header("Store-Era", era)
            self.send_header("Content-Length", str(len(body)))
            self.end_headers()
            self.wfile.write(body)

        do_GET = do_POST = do_PUT = respond  # noqa: N815

        def log_message(self, *arguments):
            pass

    server = http.server.ThreadingHTTPServer(("127.0.0.1", 0), Handler)
    threading.Thread(target=server.serve_forever, daemon=True).start()
    client = PlatformObjects(f"127.0.0.1:{server.server_port}", time.monotonic)
    client.requests = requests
    yield client, responses
    server.shutdown()
    server.server_close()


class TestPages:
    def test_truncated_page_without_an_object_is_an_error(self, store):
        client, responses = store
        responses += [(200, None, page({"metadata": 3}, truncated=True))]
        outcome = client.list_all("servers", soon())
        assert outcome.unwrap_err().kind is ErrorKind.UNAVAILABLE

    def test_page_that_repeats_ends_with_an_error(self, store):
        client, responses = store
        responses += [(200, None, page(stored("a"), truncated=True))] * 2
        outcome = client.list_all("servers", soon())
        assert outcome.unwrap_err().kind is ErrorKind.UNAVAILABLE

    def test_malformed_records_between_pages_are_skipped(self, store):
        client, responses = store
        responses += [
            (200, None, page(stored("a"), {"x": 1}, truncated=True)),
            (200, None, page(None, stored("b"))),
        ]
        listing = client.list_all("servers", soon()).unwrap()
        assert [item.name for item in listing.objects] == ["a", "b"]
        assert "after_revision=a" in client.requests[1][0]

    @pytest.mark.parametrize(
        "value", [[], 3, None, "x", {"items": 3, "store_revision": 1}, {"items": []}]
    )
    def test_malformed_list_is_an_error(self, store, value):
        client, responses = store
        responses += [(200, None, value)]
        outcome = client.list_all("servers", soon())
        assert outcome.unwrap_err().kind is ErrorKind.UNAVAILABLE

    @pytest.mark.parametrize(
        "value", [[], {"events": 3, "store_revision": 1}, {"events": [3]}]
    )
    def test_malformed_watch_response_is_an_error(self, store, value):
        client, responses = store
        responses += [(200, None, value)]
        outcome = client.watch("servers", 1, 0.0)
        assert outcome.unwrap_err().kind is ErrorKind.UNAVAILABLE


class TestSingleObjects:
    @pytest.mark.parametrize("value", [[], 3, None, "x"])
    def test_response_that_is_no_object_is_no_answer(self, store, value):
        """Guards against a malformed read that is taken for an answer to a probe."""
        client, responses = store
        responses += [(200, None, value)] * 3
        outcome = client.get("servers", "i-1", soon())
        assert outcome.unwrap_err().kind is ErrorKind.UNAVAILABLE
        assert not client.answers("servers", "i-1", soon())
        outcome = client.create("servers", "i-1", {}, soon())
        assert outcome.unwrap_err().kind is ErrorKind.UNKNOWN


class TestEra:
    def test_listing_and_changes_state_their_era(self, store):
        client, responses = store
        responses += [
            (200, "3", page(revision=7)),
            (200, "4", {"events": [], "store_revision": 2}),
        ]
        assert client.list_all("servers", soon()).unwrap().position == StorePosition(
            3, 7
        )
        assert client.watch("servers", 7, 0.0).unwrap().position == StorePosition(4, 2)
        assert client.era == 4

    @pytest.mark.parametrize("era", ["1", None, "", "x", "-1", "9²", "2.5"])
    def test_response_of_an_earlier_or_no_era_is_ignored(self, store, era):
        client, responses = store
        responses += [(200, "2", page()), (200, era, page(revision=99))]
        client.list_all("servers", soon()).unwrap()
        outcome = client.list_all("servers", soon(), stale=True)
        assert outcome.unwrap_err().kind is ErrorKind.UNAVAILABLE
        assert client.era == 2

    def test_store_without_eras_is_followed(self, store):
        client, responses = store
        responses += [(200, None, page()), (200, None, page(revision=10))]
        assert client.list_all("servers", soon()).unwrap().era == 0
        assert client.list_all("servers", soon()).unwrap().revision == 10

    def test_pages_of_two_eras_are_not_joined(self, store):
        client, responses = store
        responses += [
            (200, "1", page(stored("a"), truncated=True)),
            (200, "2", page(stored("b"))),
        ]
        outcome = client.list_all("servers", soon())
        assert outcome.unwrap_err().kind is ErrorKind.UNAVAILABLE

    def test_write_that_depends_on_an_earlier_era_is_not_sent(self, store):
        client, responses = store
        responses += [(200, "2", page())]
        client.list_all("servers", soon()).unwrap()
        position = StorePosition(1, 5)
        outcome = client.replace_status("rollouts", "s", {}, position, soon())
        assert outcome.unwrap_err().kind is ErrorKind.CONFLICT
        assert len(client.requests) == 1

    def test_write_answered_in_a_later_era_is_not_taken_for_done(self, store):
        client, responses = store
        responses += [(200, "2", stored("s", 6))]
        position = StorePosition(1, 5)
        outcome = client.replace_status("rollouts", "s", {}, position, soon())
        assert outcome.unwrap_err().kind is ErrorKind.UNKNOWN

    def test_write_answered_by_an_earlier_era_may_have_been_applied(self, store):
        client, responses = store
        responses += [(200, "2", page()), (200, "1", stored("h"))]
        client.list_all("servers", soon()).unwrap()
        outcome = client.create("hosts", "h", {}, soon())
        assert outcome.unwrap_err().kind is ErrorKind.UNKNOWN


class TestFailures:
    """Guards against a late failure that is taken for a new one of the store."""

    def client(self, *behaviours):
        """Return a client of a store that treats its connections in turn as told."""
        listener = socket.create_server(("127.0.0.1", 0))
        address = f"127.0.0.1:{listener.getsockname()[1]}"

        def serve():
            for seconds, answer in behaviours:
                connection, _ = listener.accept()
                threading.Thread(
                    target=self.treat, args=(connection, seconds, answer), daemon=True
                ).start()

        threading.Thread(target=serve, daemon=True).start()
        return PlatformObjects(address, time.monotonic)

    def treat(self, connection, seconds, answer):
        connection.recv(65536)
        time.sleep(seconds)
        connection.sendall(answer)
        connection.close()

    ANSWER = b"HTTP/1.1 404 Not Found\r\nContent-Length: 2\r\n\r\n{}"
    REFUSAL = b"HTTP/1.1 503 Busy\r\nContent-Length: 2\r\n\r\n{}"

    def outdated(self, client, wait=0.1):
        return client.watch("servers", 1, wait).unwrap_err().outdated

    def test_time_out_after_which_nothing_was_answered(self):
        client = self.client((9.0, b""))
        assert not self.outdated(client)

    def test_time_out_of_a_call_during_which_another_one_was_answered(self):
        client = self.client((9.0, b""), (0.0, self.ANSWER))
        results = []
        watch = threading.Thread(target=lambda: results.append(self.outdated(client)))
        watch.start()
        time.sleep(0.3)
        assert client.answers("servers", "i-1", soon())
        watch.join()
        assert results == [True]

    @pytest.mark.parametrize(
        ("seconds", "answer", "outdated"),
        [
            (0.5, b"", True),
            (0.0, b"", False),
            (0.5, REFUSAL, False),
            (0.0, ANSWER, True),
        ],
    )
    def test_other_ends_of_a_watch(self, seconds, answer, outdated):
        assert self.outdated(self.client((seconds, answer)), 2.0) is outdated


class TestBoundedObjects:
    """Guards against metadata of other writers that hosts cannot hash or send."""

    def test_usual_object_is_kept(self):
        spec = {"service": "s", "list": [{"a": [1]}]}
        expected = PlatformObject("i-1", 5, 4, spec, {"state": "running"})
        assert bounded_object("i-1", 5, 4, spec, {"state": "running"}) == expected

    @pytest.mark.parametrize(
        "revision", [None, True, 1.5, "7", 1 << 63, -(1 << 70), float("inf"), [1]]
    )
    def test_revision_that_does_not_fit_a_digest_counts_as_none(self, revision):
        decoded = bounded_object("i-1", revision, revision, {}, None)
        assert (decoded.revision, decoded.created) == (0, 0)

    @pytest.mark.parametrize("name", ["\ud800", "a\r\nb", "\0", "x" * 5000])
    def test_name_that_cannot_be_sent_is_replaced(self, name):
        decoded = bounded_object(name, 5, 5, {"service": "s"}, None)
        assert is_text(decoded.name)
        assert decoded.spec == UNREADABLE

    @pytest.mark.parametrize("name", [None, 7, ["a"], {}])
    def test_object_without_a_name_is_none(self, name):
        assert bounded_object(name, 5, 5, {}, None) is None

    def test_deep_status_does_not_make_the_spec_unreadable(self):
        status = []
        for _ in range(100):
            status = [status]
        decoded = bounded_object("r", 5, 5, {"target": "v2"}, status)
        assert (decoded.spec, decoded.status) == ({"target": "v2"}, UNREADABLE)


SERVER = {
    "service": "s",
    "address": "127.0.0.1:9",
    "zone": "z",
    "version": "v",
    "slots": 1,
    "state": "ready",
    "born": 7,
    "cold_remaining_ms": 5,
}


class TestLargeObjects:
    """Guards against memory that grows with what other writers have stored."""

    LARGE = [{}] * 300_000

    @pytest.mark.parametrize(
        ("kind", "spec", "kept"),
        [
            ("servers", {**SERVER, "models": LARGE}, SERVER),
            ("servers", {**SERVER, "address": LARGE}, {**SERVER, "address": OMITTED}),
            ("servers", {**SERVER, "zone": "z" * 20_000}, {**SERVER, "zone": OMITTED}),
            ("servers", LARGE, UNREADABLE),
            ("rollouts", {"target": "v2", "x": LARGE}, {"target": "v2"}),
            ("masticfork-hosts", {"address": "a:1", "x": LARGE}, {"address": "a:1"}),
            ("config", {"version": 2, "routes": LARGE}, None),
            ("evacuations", LARGE, None),
        ],
    )
    def test_only_the_fields_that_are_read_are_kept(self, kind, spec, kept):
        assert reduce_object(kind, "other", spec, None) == (kept, None)

    def test_small_object_keeps_fields_that_later_builds_may_read(self):
        spec = {**SERVER, "models": [{"name": "m"}]}
        assert reduce_object("servers", "i-1", spec, None) == (spec, None)

    def test_large_status_keeps_the_progress_in_it(self):
        status = {"state": "running", "target": "v2", "step": 1}
        reduced = reduce_object("rollouts", "s", {}, {**status, "x": self.LARGE})
        assert reduced == ({}, status)
        assert reduce_object("servers", "i-1", {}, self.LARGE) == ({}, None)

    def test_configuration_in_force_is_kept_whole(self):
        spec = {"version": 2, "routes": self.LARGE}
        assert reduce_object("config", "main", spec, {"x": 1}) == (spec, None)

    @pytest.mark.parametrize("call", ["list", "watch"])
    def test_objects_are_reduced_one_after_the_other(self, store, call):
        client, responses = store
        large = [{**SERVER, "models": [{}] * 30_000} for _ in range(20)]
        records = [
            {"metadata": {"name": f"i-{n:02}", "revision": n}, "spec": spec}
            for n, spec in enumerate(large)
        ]
        events = [{"object": record, "deleted": False} for record in records]
        answer = {"events": events, "store_revision": 30}
        responses += [(200, None, page(*records) if call == "list" else answer)]
        tracemalloc.start()
        try:
            if call == "list":
                found = client.list_all("servers", soon()).unwrap().objects
            else:
                changes = client.watch("servers", 1, 0.0).unwrap().changes
                found = tuple(change.object for change in changes)
            current, peak = tracemalloc.get_traced_memory()
        finally:
            tracemalloc.stop()
        assert [item.spec for item in found] == [SERVER] * 20
        # All of them take 40 MB decoded, one takes 2 MB, and their text 2 MB.
        assert current < 1_000_000
        assert peak < 16_000_000

    def test_watch_that_holds_more_than_a_listing_is_gone(self, store):
        client, responses = store
        record = stored("i-1") | {"spec": "x" * MAX_WATCH_BYTES}
        events = [{"object": record, "deleted": False}]
        responses += [(200, None, {"events": events, "store_revision": 9})]
        outcome = client.watch("servers", 1, 0.0)
        assert outcome.unwrap_err().kind is ErrorKind.GONE
