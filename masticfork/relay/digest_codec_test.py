import attrs
import pytest
from hypothesis import given
from hypothesis import strategies as st
from result import Err, Ok

from masticfork.core.backend_servers import HostRequests
from masticfork.core.crash_reports import CrashObservation, CrashReport
from masticfork.core.digests import (
    BrittleReport,
    Digest,
    HostLoad,
    NewAnswers,
    OldAnswers,
    PaceReport,
    RolloutEvidence,
    SpeedReport,
    TeamWork,
)
from masticfork.core.store_position import StorePosition
from masticfork.relay.digest_codec import decode_digest, encode_digest

EVIDENCE = RolloutEvidence(
    "llm",
    9,
    (
        NewAnswers(3_000_000_000, 4_000_000_000, 12, 2, 1, 1),
        NewAnswers(1, 2, 0, 1, 0, 0),
    ),
    (OldAnswers(2, 8.0, 0.25, 1.5),),
    {0: 1.5, 2: 0.75},
    {0: 0.03125, 7: 0.0625},
    True,
)
DIGEST = Digest(
    host="host-1",
    incarnation=1_700_000_000_000,
    sequence=7,
    configuration=12,
    servers=StorePosition(2, 530),
    loads={3_000_000_000: HostLoad(5, 1.5, 42_000.0)},
    rollouts=(EVIDENCE,),
    sessions={1: 2, 4_000_000_000: 3},
)


class TestDigestCodec:
    def test_round_trip(self):
        assert decode_digest(encode_digest(DIGEST)) == Ok(DIGEST)

    def test_digest_of_a_large_deployment_fits_a_datagram(self):
        loads = {n * 1000: HostLoad(40, 12.0, 90_000.0) for n in range(64)}
        sessions = {n * 1001: n for n in range(60)}
        digest = attrs.evolve(DIGEST, loads=loads, sessions=sessions)
        assert len(encode_digest(digest)) < 1400

    @pytest.mark.parametrize("seconds", [None, 0.0, 0.001, 2.3])
    def test_round_trip_of_the_return_of_entries(self, seconds):
        digest = attrs.evolve(DIGEST, reading=True, entries_return=seconds)
        assert decode_digest(encode_digest(digest)) == Ok(digest)

    @pytest.mark.parametrize("age", [None, 0.0, 21.5])
    def test_round_trip_of_the_age_of_a_rollout(self, age):
        digest = attrs.evolve(DIGEST, rollouts=(attrs.evolve(EVIDENCE, age=age),))
        assert decode_digest(encode_digest(digest)) == Ok(digest)

    def test_round_trip_of_what_a_host_has_sent(self):
        loaded = NewAnswers(1, 2, 0x7FFF, 3, 1, 0, loaded=True)
        sent = attrs.evolve(
            EVIDENCE,
            new=(*EVIDENCE.new, loaded),
            requests=HostRequests("host-1", 4_000_000_000, 120, 17),
            rate=7.5,
            left=-2.25,
        )
        digest = attrs.evolve(DIGEST, rollouts=(sent,))
        assert decode_digest(encode_digest(digest)) == Ok(digest)

    @pytest.mark.parametrize("value", [float("nan"), float("inf")])
    def test_evidence_with_numbers_that_are_not_finite_is_left_out(self, value):
        """Guards against sums over all hosts that one host makes useless."""
        requests = HostRequests("host-1", 1, 120, 17)
        broken = attrs.evolve(EVIDENCE, requests=requests, left=value)
        decoded = decode_digest(
            encode_digest(attrs.evolve(DIGEST, rollouts=(broken, EVIDENCE)))
        )
        assert decoded.ok_value.rollouts == (EVIDENCE,)

    def test_round_trip_of_paced_servers(self):
        reports = (PaceReport(4_000_000_000, 1.25), PaceReport(7, 0.0))
        digest = attrs.evolve(DIGEST, paced=reports)
        assert decode_digest(encode_digest(digest)) == Ok(digest)

    def test_round_trip_of_work_by_team(self):
        work = (TeamWork(4_000_000_000, 3, 12_000.0, 0.5),)
        digest = attrs.evolve(DIGEST, team_work=work)
        assert decode_digest(encode_digest(digest)) == Ok(digest)

    def test_round_trip_of_speeds(self):
        digest = attrs.evolve(DIGEST, speeds=(SpeedReport(4_000_000_000, -1.5, 3.0),))
        (speed,) = decode_digest(encode_digest(digest)).ok_value.speeds
        assert speed.server == 4_000_000_000
        assert speed.total == pytest.approx(-1.5)
        assert speed.answers == pytest.approx(3.0)

    def test_round_trip_of_crash_reports(self):
        seen = (
            CrashObservation(3_000_000_001, 7, 2, 1.25),
            CrashObservation(1, 9, 0, 0.0),
        )
        report = CrashReport(seen, {4_000_000_000: 0.5}, {5: 299.875})
        digest = attrs.evolve(DIGEST, crashes=report)
        assert decode_digest(encode_digest(digest)) == Ok(digest)

    def test_round_trip_of_brittle_servers_and_the_state_of_the_host(self):
        reports = (BrittleReport(7, 3, 1.25, 2), BrittleReport(9, None, 0.5, 0))
        digest = attrs.evolve(DIGEST, brittle=reports, transit_port=7355, cut_off=True)
        assert decode_digest(encode_digest(digest)) == Ok(digest)

    def test_values_outside_the_field_range_are_clamped(self):
        loads = {1: HostLoad(100_000, -1.0, 1e12)}
        decoded = decode_digest(encode_digest(attrs.evolve(DIGEST, loads=loads)))
        assert decoded.ok_value.loads[1] == HostLoad(65535, 0.0, 65_535_000.0)

    @given(st.binary(max_size=200))
    def test_arbitrary_bytes_never_raise(self, data):
        decoded = decode_digest(data)
        assert isinstance(decoded, Err | Ok)
