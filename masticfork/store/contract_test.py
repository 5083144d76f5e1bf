"""Tests that every implementation of ObjectStore has to pass."""

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


def make_deadline(seconds: float = 5.0) -> Deadline:
    return Deadline.after(time.time(), seconds)


def error_kind(outcome: Result[object, PlatformError]) -> ErrorKind | None:
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


def create(store: ObjectStore, key: str, value: dict) -> int:
    return store.create(key, value, make_deadline()).unwrap().version


def create_and_update(store: ObjectStore) -> int:
    version = create(store, "k", {"n": 1})
    return store.update("k", {"n": 2}, version, make_deadline()).unwrap().version


# Each case: a name, a call made after "k" was created with {"n": 1} and updated to
# {"n": 2}, and the expected kind of error, None for a success.
CASES: list[tuple[str, Callable[[ObjectStore, int], object], ErrorKind | None]] = [
    ("get", lambda s, v: s.get("k", make_deadline()), None),
    ("get other", lambda s, v: s.get("x", make_deadline()), ErrorKind.NOT_FOUND),
    ("create new", lambda s, v: s.create("x/y z%", {}, make_deadline()), None),
    (
        "create again",
        lambda s, v: s.create("k", {}, make_deadline()),
        ErrorKind.CONFLICT,
    ),
    ("update", lambda s, v: s.update("k", {}, v, make_deadline()), None),
    (
        "update old",
        lambda s, v: s.update("k", {}, v - 1, make_deadline()),
        ErrorKind.CONFLICT,
    ),
    (
        "update other",
        lambda s, v: s.update("x", {}, v, make_deadline()),
        ErrorKind.CONFLICT,
    ),
    ("delete", lambda s, v: s.delete("k", v, make_deadline()), None),
    (
        "delete old",
        lambda s, v: s.delete("k", v - 1, make_deadline()),
        ErrorKind.CONFLICT,
    ),
    (
        "delete other",
        lambda s, v: s.delete("x", v, make_deadline()),
        ErrorKind.NOT_FOUND,
    ),
    (
        "create large",
        lambda s, v: s.create("x", {"v": "a" * MAX_VALUE_BYTES}, make_deadline()),
        ErrorKind.TOO_LARGE,
    ),
    (
        "expired",
        lambda s, v: s.create("x", {}, make_deadline(-1)),
        ErrorKind.UNAVAILABLE,
    ),
]


class TestObjectStore:
    @pytest.mark.parametrize(
        ("call", "expected"), [c[1:] for c in CASES], ids=[c[0] for c in CASES]
    )
    def test_call_succeeds_or_fails_as_expected(self, store, call, expected):
        assert error_kind(call(store, create_and_update(store))) is expected

    def test_get_returns_the_written_value_and_version(self, store):
        value = {"n": [1, 2.5, None], "text": "cañón"}
        created = store.create("a/b c%", value, make_deadline()).unwrap()
        found = store.get("a/b c%", make_deadline()).unwrap()
        assert (found.value, found.version) == (value, created.version)

    def test_conflict_reports_the_current_version(self, store):
        version = create_and_update(store)
        refused = store.update("k", {}, version - 1, make_deadline())
        assert refused.unwrap_err().version == version

    def test_recreated_object_gets_a_greater_version(self, store):
        first = create(store, "k", {})
        store.delete("k", first, make_deadline()).unwrap()
        assert create(store, "k", {}) > first

    def test_list_returns_pages_in_key_order(self, store):
        for key in ("p/c", "p/a", "q/x", "p/b"):
            create(store, key, {"key": key})
        first = store.list("p/", make_deadline(), limit=2).unwrap()
        rest = store.list("p/", make_deadline(), after="p/b", limit=2).unwrap()
        assert [item.key for item in first.items] == ["p/a", "p/b"]
        assert [item.key for item in rest.items] == ["p/c"]
        assert (first.more, rest.more) == (True, False)

    def test_only_one_concurrent_create_succeeds(self, store):
        outcomes: list[Result[object, PlatformError]] = []
        threads = [
            threading.Thread(
                target=lambda n=n: outcomes.append(
                    store.create("k", {"n": n}, make_deadline())
                )
            )
            for n in range(8)
        ]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        assert sum(outcome.is_ok() for outcome in outcomes) == 1

    def test_watch_reports_changes_since_a_revision(self, store):
        create(store, "p/old", {})
        revision = store.list("p/", make_deadline()).unwrap().revision
        version = create(store, "p/new", {"n": 1})
        create(store, "q/other", {})
        page = store.watch("p/", revision, make_deadline()).unwrap()
        assert [(e.key, e.version, e.value) for e in page.events] == [
            ("p/new", version, {"n": 1})
        ]
        assert page.revision >= version

    def test_watch_reports_a_deletion(self, store):
        version = create(store, "p/k", {})
        delete = threading.Timer(
            0.05, lambda: store.delete("p/k", version, make_deadline())
        )
        delete.start()
        page = store.watch("p/", version, make_deadline(30)).unwrap()
        delete.join()
        assert [(e.key, e.deleted) for e in page.events] == [("p/k", True)]

    def test_watch_ends_at_its_deadline(self, store):
        version = create(store, "p/k", {})
        page = store.watch("p/", version, make_deadline(0.05)).unwrap()
        assert page.events == ()

    def test_calls_are_counted_by_kind(self, store):
        version = create(store, "k", {})
        store.get("k", make_deadline())
        store.get("x", make_deadline())
        store.list("", make_deadline())
        store.delete("k", version, make_deadline())
        assert store.counter.calls() == {
            CallKind.PUT: 1,
            CallKind.GET: 2,
            CallKind.LIST: 1,
            CallKind.DELETE: 1,
        }
        assert store.counter.errors() == {(CallKind.GET, ErrorKind.NOT_FOUND): 1}
