"""What every object store promises, run against each of them."""

import threading
import time
from collections.abc import Callable, Iterator

import pytest
from result import Err, Result

from masticfork.core.deadlines import Deadline
from masticfork.store.client import (
    MAX_VALUE_BYTES,
    CallKind,
    ErrorKind,
    ObjectStore,
    PlatformError,
)
from masticfork.store.embedded import EmbeddedStore
from masticfork.store.http import HttpObjectStore
from standins.common import serving
from standins.platform import Platform


def soon(seconds: float = 5.0) -> Deadline:
    return Deadline.after(time.time(), seconds)


def kind_of(outcome: Result[object, PlatformError]) -> ErrorKind | None:
    return outcome.err_value.kind if isinstance(outcome, Err) else None


@pytest.fixture(params=["embedded", "http"])
def store(request) -> Iterator[ObjectStore]:
    if request.param == "embedded":
        yield EmbeddedStore()
        return
    with serving(Platform(), threads=16) as server:
        http_store = HttpObjectStore(f"127.0.0.1:{server.port}", time.time)
        yield http_store
        http_store.close()


def put(store: ObjectStore, key: str, value: dict) -> int:
    return store.create(key, value, soon()).unwrap().version


def replaced(store: ObjectStore) -> int:
    version = put(store, "k", {"n": 1})
    return store.update("k", {"n": 2}, version, soon()).unwrap().version


# Each case: what is done after "k" was created with {"n": 1} and replaced by
# {"n": 2}, and the kind of error expected, none for a success.
CASES: list[tuple[str, Callable[[ObjectStore, int], object], ErrorKind | None]] = [
    ("get", lambda s, v: s.get("k", soon()), None),
    ("get other", lambda s, v: s.get("x", soon()), ErrorKind.NOT_FOUND),
    ("create new", lambda s, v: s.create("x/y z%", {}, soon()), None),
    ("create again", lambda s, v: s.create("k", {}, soon()), ErrorKind.CONFLICT),
    ("update", lambda s, v: s.update("k", {}, v, soon()), None),
    ("update old", lambda s, v: s.update("k", {}, v - 1, soon()), ErrorKind.CONFLICT),
    ("update other", lambda s, v: s.update("x", {}, v, soon()), ErrorKind.CONFLICT),
    ("delete", lambda s, v: s.delete("k", v, soon()), None),
    ("delete old", lambda s, v: s.delete("k", v - 1, soon()), ErrorKind.CONFLICT),
    ("delete other", lambda s, v: s.delete("x", v, soon()), ErrorKind.NOT_FOUND),
    (
        "create large",
        lambda s, v: s.create("x", {"v": "a" * MAX_VALUE_BYTES}, soon()),
        ErrorKind.TOO_LARGE,
    ),
    ("expired", lambda s, v: s.create("x", {}, soon(-1)), ErrorKind.UNAVAILABLE),
]


class TestContract:
    @pytest.mark.parametrize(
        ("act", "expected"), [c[1:] for c in CASES], ids=[c[0] for c in CASES]
    )
    def test_outcome(self, store, act, expected):
        assert kind_of(act(store, replaced(store))) is expected

    def test_reads_what_was_written(self, store):
        value = {"n": [1, 2.5, None], "text": "cañón"}
        created = store.create("a/b c%", value, soon()).unwrap()
        found = store.get("a/b c%", soon()).unwrap()
        assert (found.value, found.version) == (value, created.version)

    def test_conflict_names_the_version(self, store):
        version = replaced(store)
        refused = store.update("k", {}, version - 1, soon())
        assert refused.unwrap_err().version == version

    def test_versions_grow_over_delete_and_create(self, store):
        first = put(store, "k", {})
        store.delete("k", first, soon()).unwrap()
        assert put(store, "k", {}) > first

    def test_pages_in_key_order(self, store):
        for key in ("p/c", "p/a", "q/x", "p/b"):
            put(store, key, {"key": key})
        first = store.list("p/", soon(), limit=2).unwrap()
        rest = store.list("p/", soon(), after="p/b", limit=2).unwrap()
        assert [item.key for item in first.items] == ["p/a", "p/b"]
        assert [item.key for item in rest.items] == ["p/c"]
        assert (first.more, rest.more) == (True, False)

    def test_one_of_many_creates_wins(self, store):
        outcomes: list[Result[object, PlatformError]] = []
        threads = [
            threading.Thread(
                target=lambda n=n: outcomes.append(store.create("k", {"n": n}, soon()))
            )
            for n in range(8)
        ]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        assert sum(outcome.is_ok() for outcome in outcomes) == 1

    def test_watch_reports_changes_since_a_revision(self, store):
        put(store, "p/old", {})
        revision = store.list("p/", soon()).unwrap().revision
        version = put(store, "p/new", {"n": 1})
        put(store, "q/other", {})
        page = store.watch("p/", revision, soon()).unwrap()
        assert [(e.key, e.version, e.value) for e in page.events] == [
            ("p/new", version, {"n": 1})
        ]
        assert page.revision >= version

    def test_watch_wakes_on_a_delete(self, store):
        version = put(store, "p/k", {})
        delete = threading.Timer(0.05, lambda: store.delete("p/k", version, soon()))
        delete.start()
        page = store.watch("p/", version, soon(30)).unwrap()
        delete.join()
        assert [(e.key, e.deleted) for e in page.events] == [("p/k", True)]

    def test_watch_ends_at_its_deadline(self, store):
        version = put(store, "p/k", {})
        page = store.watch("p/", version, soon(0.05)).unwrap()
        assert page.events == ()

    def test_calls_are_counted_by_kind(self, store):
        version = put(store, "k", {})
        store.get("k", soon())
        store.get("x", soon())
        store.list("", soon())
        store.delete("k", version, soon())
        assert store.counter.calls() == {
            CallKind.PUT: 1,
            CallKind.GET: 2,
            CallKind.LIST: 1,
            CallKind.DELETE: 1,
        }
        assert store.counter.errors() == {(CallKind.GET, ErrorKind.NOT_FOUND): 1}
