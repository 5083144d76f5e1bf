import itertools
import json
from collections.abc import Callable
from typing import Any

import attrs
from hypothesis import given, settings
from hypothesis import strategies as st
from result import Err

from masticfork.admin import configuration_store
from masticfork.admin.configuration_store import PlatformFailure
from masticfork.admin.configurations import (
    CURRENT_KEY,
    HISTORY_PREFIX,
    SUBMISSION_PREFIX,
    configuration_of,
)
from masticfork.admin.submissions import (
    Accepted,
    ConfigurationConflict,
    InvalidManifest,
    OutOfScope,
    Submission,
    SubmissionIdReused,
    Submissions,
)
from masticfork.core.deadlines import Deadline
from masticfork.settings.settings import Role
from masticfork.store.client import ErrorKind, PlatformError
from masticfork.store.embedded import EmbeddedStore

FAR = Deadline(1e12)


def manifest(quality: float = 0.5, team: str = "quotes") -> str:
    return json.dumps(
        {
            "teams": [
                {
                    "name": team,
                    "key_hashes": [{"salt": "00" * 8, "sha256": "a" * 64}],
                    "allowed": ["linen"],
                    "quality_target": quality,
                }
            ],
            "models": [
                {
                    "name": "linen",
                    "current": "1",
                    "versions": [{"id": "1", "pool": "a", "cost_per_1k_tokens": 1}],
                }
            ],
            "pools": [
                {
                    "name": "a",
                    "servers": [
                        {"name": "a1", "host": "10.0.0.1", "port": 1, "zone": "z"}
                    ],
                }
            ],
        }
    )


def submission(name: str, quality: float = 0.5, **changes: Any) -> Submission:
    base = Submission(name, manifest(quality), "ana", Role.OPERATOR)
    return attrs.evolve(base, **changes)


class InterleavedStore(EmbeddedStore):
    """A store that runs an action just before or after the next update."""

    before_update: Callable[[], object] | None = None
    after_update: Callable[[], object] | None = None

    # Prefix of the keys that cannot be read.
    unreadable: str | None = None

    def get(self, key: str, deadline: Deadline) -> Any:
        if self.unreadable and key.startswith(self.unreadable):
            return Err(PlatformError(ErrorKind.UNAVAILABLE, "not reachable"))
        return super().get(key, deadline)

    def update(self, key: str, value: Any, version: int, deadline: Deadline) -> Any:
        before, self.before_update = self.before_update, None
        if before:
            before()
        outcome = super().update(key, value, version, deadline)
        after, self.after_update = self.after_update, None
        if after:
            after()
        return outcome


class Platform:
    """An embedded store with the submissions that are made to it."""

    def __init__(self) -> None:
        self.store = InterleavedStore(now=lambda: 100.0, sleep=lambda _: None)
        # Clock readings are unique, so that no two writes are identical.
        clock = itertools.count(100)
        self.submissions = Submissions(self.store, lambda: float(next(clock)))

    def submit(self, name: str, quality: float = 0.5, **changes: Any) -> Any:
        outcome = self.submissions.submit(submission(name, quality, **changes))
        return outcome.ok_value if outcome.is_ok() else outcome.err_value

    def ids(self) -> list[str]:
        rows = self.submissions.configurations.history(None, 100, FAR).unwrap()
        return [row.submission_id for row in rows]


class TestAcceptance:
    def test_the_number_is_the_objects_version(self):
        platform = Platform()
        accepted = platform.submit("s1")
        stored = platform.store.get(CURRENT_KEY, FAR).unwrap()
        assert accepted.number == stored.version
        configuration = configuration_of(stored).unwrap()
        assert configuration.number == accepted.number
        assert configuration.teams["quotes"].quality_target == 0.5

    def test_history_has_the_submitter_and_the_time(self):
        platform = Platform()
        platform.submit("s1")
        platform.submit("s2", 0.6, submitted_by="bea")
        newest, oldest = platform.submissions.configurations.history(
            None, 9, FAR
        ).unwrap()
        assert (newest.submitted_by, oldest.submitted_by) == ("bea", "ana")
        assert newest.previous == oldest.number
        assert newest.submitted_at > oldest.submitted_at >= 100.0

    def test_a_faulty_manifest_is_refused(self):
        refused = Platform().submit("s1", 1.5)
        assert isinstance(refused, InvalidManifest)
        assert refused.findings[0].place.path == "teams[0].quality_target"

    def test_a_dry_run_writes_nothing(self):
        platform = Platform()
        platform.submit("s1")
        outcome = platform.submissions.submit(submission("s2", 0.7), dry_run=True)
        assert [c.path for c in outcome.unwrap().changes] == [
            "teams[quotes].quality_target"
        ]
        assert platform.ids() == ["s1"]

    def test_a_scoped_submitter_may_change_only_its_teams(self):
        platform = Platform()
        platform.submit("s1")
        assert isinstance(platform.submit("s2", 0.6, teams=("quotes",)), Accepted)
        refused = platform.submit("s3", 0.7, teams=("orders",))
        assert refused == OutOfScope(("teams[quotes].quality_target",))
        text = manifest(team="quotes-2")
        refused = platform.submit("s4", manifest_text=text, teams=("quotes",))
        assert refused == OutOfScope(("teams[quotes-2]",))


class TestIdempotency:
    def test_a_repeated_submission_changes_nothing(self):
        platform = Platform()
        first = platform.submit("s1")
        again = platform.submit("s1")
        assert (again.number, again.repeated) == (first.number, True)
        assert platform.ids() == ["s1"]

    def test_repeating_a_replaced_submission_does_not_restore_it(self):
        platform = Platform()
        first = platform.submit("s1")
        platform.submit("s2", 0.6)
        again = platform.submit("s1", expected=0)
        assert (again.number, again.repeated) == (first.number, True)
        assert platform.ids() == ["s2", "s1"]

    def test_an_id_cannot_be_reused_for_another_manifest(self):
        platform = Platform()
        first = platform.submit("s1")
        assert platform.submit("s1", 0.9) == SubmissionIdReused(first.number)


class TestRaces:
    def test_a_stale_expected_number_reports_the_changes(self):
        platform = Platform()
        first = platform.submit("s1")
        second = platform.submit("s2", 0.6, submitted_by="bea")
        conflict = platform.submit("s3", 0.7, expected=first.number)
        assert isinstance(conflict, ConfigurationConflict)
        assert conflict.current is not None
        assert conflict.current.number == second.number
        assert conflict.current.submitted_by == "bea"
        assert [(c.path, c.after) for c in conflict.changes] == [
            ("teams[quotes].quality_target", 0.6)
        ]

    def test_the_later_of_two_concurrent_writes_conflicts(self):
        platform = Platform()
        platform.submit("s1")
        platform.store.before_update = lambda: platform.submit("s2", 0.6)
        conflict = platform.submit("s3", 0.7)
        assert isinstance(conflict, ConfigurationConflict)
        assert conflict.current is not None
        assert conflict.current.submission_id == "s2"
        assert platform.ids() == ["s2", "s1"]

    def test_two_first_submissions(self):
        platform = Platform()
        platform.submit("s1", expected=0)
        assert isinstance(platform.submit("s2", 0.6, expected=0), ConfigurationConflict)

    def test_the_same_submission_at_two_hosts(self):
        platform = Platform()
        platform.submit("s1")
        platform.store.before_update = lambda: platform.submit("s2", 0.6)
        assert platform.submit("s2", 0.6).repeated
        assert platform.ids() == ["s2", "s1"]


class TestLostResponses:
    def test_a_write_with_a_lost_response_is_accepted(self):
        platform = Platform()
        platform.submit("s1")
        platform.store.before_update = lambda: setattr(
            platform.store.faults, "lose_answers", 1
        )
        assert isinstance(platform.submit("s2", 0.6), Accepted)
        assert platform.ids() == ["s2", "s1"]

    def test_a_write_that_is_replaced_at_once_counts_as_accepted(self):
        platform = Platform()
        platform.submit("s1")
        platform.store.before_update = lambda: setattr(
            platform.store.faults, "lose_answers", 1
        )
        platform.store.after_update = lambda: platform.submit("s3", 0.7)
        assert isinstance(platform.submit("s2", 0.6), Accepted)
        assert platform.ids() == ["s3", "s2", "s1"]

    def test_a_replaced_write_that_cannot_be_looked_up_is_unknown(self):
        platform = Platform()
        platform.submit("s1")

        def replace() -> None:
            platform.submit("s3", 0.7)
            platform.store.unreadable = SUBMISSION_PREFIX

        platform.store.before_update = lambda: setattr(
            platform.store.faults, "lose_answers", 1
        )
        platform.store.after_update = replace
        failed = platform.submit("s2", 0.6)
        assert isinstance(failed, PlatformFailure)
        assert failed.error.kind is ErrorKind.UNKNOWN
        platform.store.unreadable = None
        assert platform.submit("s2", 0.6).repeated

    def test_an_unknown_outcome_is_settled_by_the_same_id(self):
        platform = Platform()
        platform.submit("s1")
        platform.store.before_update = lambda: setattr(
            platform.store.faults, "delay_writes", 9
        )
        unknown = platform.submit("s2", 0.6)
        assert isinstance(unknown, PlatformFailure)
        assert unknown.error.kind is ErrorKind.UNKNOWN
        platform.store.faults.delay_writes = 0
        platform.store.apply_delayed_writes()
        assert platform.submit("s2", 0.6).repeated
        assert platform.ids() == ["s2", "s1"]

    def test_an_outage_has_no_effect(self):
        platform = Platform()
        platform.submit("s1")
        platform.store.set_down(True)
        failed = platform.submit("s2", 0.6)
        assert isinstance(failed, PlatformFailure)
        assert failed.error.kind is ErrorKind.UNAVAILABLE
        platform.store.set_down(False)
        assert platform.ids() == ["s1"]


class TestHistory:
    def test_pages_are_newest_first(self):
        platform = Platform()
        for index in range(5):
            platform.submit(f"s{index}", index / 10)
        first = platform.submissions.configurations.history(None, 2, FAR).unwrap()
        rest = platform.submissions.configurations.history(
            first[-1].number, 9, FAR
        ).unwrap()
        assert [row.submission_id for row in (*first, *rest)] == [
            "s4",
            "s3",
            "s2",
            "s1",
            "s0",
        ]

    def test_old_entries_are_removed(self, monkeypatch):
        monkeypatch.setattr(configuration_store, "MAX_ARCHIVED_CONFIGURATIONS", 3)
        platform = Platform()
        for index in range(9):
            platform.submit(f"s{index}", index / 10)
        assert platform.ids() == ["s8", "s7", "s6", "s5"]
        assert len(platform.store.list("configuration/", FAR).unwrap().items) == 7


FAULTS = st.sampled_from(["", "lose_answers", "lose_requests", "delay_writes", "down"])
STEPS = st.lists(st.tuples(st.integers(0, 4), FAULTS, st.integers(1, 9)), max_size=12)


class TestProperty:
    @settings(deadline=None)
    @given(STEPS)
    def test_each_accepted_submission_is_in_force_once(
        self, steps: list[tuple[int, str, int]]
    ):
        platform = Platform()
        accepted: dict[str, int] = {}
        refused: set[str] = set()
        for index, fault, count in steps:
            name = f"s{index}"
            if fault == "down":
                platform.store.set_down(True)
            elif fault:
                setattr(platform.store.faults, fault, count)
            outcome = platform.submit(name, index / 10)
            platform.store.set_down(False)
            for fault_name in ("lose_answers", "lose_requests", "delay_writes"):
                setattr(platform.store.faults, fault_name, 0)
            if isinstance(outcome, Accepted):
                assert accepted.setdefault(name, outcome.number) == outcome.number
            elif outcome.error.kind is ErrorKind.UNAVAILABLE:
                refused.add(name)
        platform.store.apply_delayed_writes()
        ids = platform.ids()
        assert len(ids) == len(set(ids))
        assert accepted.keys() <= set(ids)
        rows = platform.submissions.configurations.history(None, 100, FAR).unwrap()
        numbers = [row.number for row in rows]
        assert numbers == sorted(numbers, reverse=True)
        assert {r.submission_id: r.number for r in rows}.items() >= accepted.items()
        assert platform.store.list(HISTORY_PREFIX, FAR).is_ok()
