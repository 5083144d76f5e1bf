import itertools

import pytest

from masticfork.admin.backend import Actor, ChangeRequest
from masticfork.admin.drains import Drains
from masticfork.admin.problems import ProblemCode
from masticfork.core.deadlines import Deadline
from masticfork.settings.settings import Role
from masticfork.store.embedded import EmbeddedStore

FAR = Deadline(1e12)


def order(name: str) -> ChangeRequest:
    return ChangeRequest(name, Actor("ana", Role.OPERATOR))


class TestDrains:
    def setup_method(self) -> None:
        clock = itertools.count(100)
        self.store = EmbeddedStore(now=lambda: 100.0, sleep=lambda _: None)
        self.drains = Drains(self.store, lambda: float(next(clock)))

    def active_names(self) -> list[tuple[str, str]]:
        active = self.drains.active(FAR).unwrap()
        return [(view.kind, view.name) for view in active]

    def test_start_and_end(self):
        started = self.drains.start("server", "a1", order("s1")).unwrap()
        assert (started.active, started.by, started.submission_id) == (
            True,
            "ana",
            "s1",
        )
        self.drains.start("host", "h1", order("s2")).unwrap()
        assert self.active_names() == [("host", "h1"), ("server", "a1")]
        assert not self.drains.end("server", "a1", order("s3")).unwrap().active
        assert self.active_names() == [("host", "h1")]

    def test_a_late_repeat_has_no_effect(self):
        self.drains.start("server", "a1", order("s1"))
        self.drains.end("server", "a1", order("s2"))
        assert not self.drains.start("server", "a1", order("s1")).unwrap().active
        assert self.active_names() == []

    @pytest.mark.parametrize("calls", [1, 2, 3])
    def test_lost_responses_are_retried(self, calls: int):
        self.store.faults.lose_answers = calls
        assert self.drains.start("server", "a1", order("s1")).unwrap().active
        assert self.store.get("shared/drains/server/a1", FAR).unwrap().value[
            "seen"
        ] == ["s1"]

    def test_an_outage_differs_from_an_unknown_outcome(self):
        self.store.set_down(True)
        refused = self.drains.start("server", "a1", order("s1")).unwrap_err()
        assert refused.code is ProblemCode.PLATFORM_DOWN
        self.store.set_down(False)
        self.store.faults.lose_requests = 9
        unknown = self.drains.start("server", "a1", order("s1")).unwrap_err()
        assert unknown.code is ProblemCode.OUTCOME_UNKNOWN
