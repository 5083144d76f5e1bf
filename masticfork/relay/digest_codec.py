"""Encoding of digests as Cap'n Proto datagrams."""

import math
import struct
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import capnp
from result import Err, Ok, Result

from masticfork.core.backend_servers import HostRequests
from masticfork.core.crash_reports import CrashObservation, CrashReport
from masticfork.core.digests import (
    BrittleReport,
    Digest,
    HostLoad,
    KindState,
    KindUpdate,
    LimitReport,
    NewAnswers,
    OldAnswers,
    PaceReport,
    RolloutEvidence,
    SpeedReport,
    TeamWork,
)
from masticfork.core.store_position import StorePosition

# Units in which digests carry pending work and weighted calls.
PENDING_TOKENS_PER_UNIT = 1000.0
BUSY_CALLS_PER_UNIT = 0.1
LOG_RATIO_PER_UNIT = 0.001
ANSWERS_PER_UNIT = 0.1
_MAX_UINT8, _MAX_UINT16, _MAX_UINT32 = 0xFF, 0xFFFF, 0xFFFFFFFF
_MILLISECONDS_PER_SECOND = 1000.0
# Bit of the seconds of answers that marks those under the usual load.
_LOADED_BIT = 0x8000

# The fields of `Load` in the schema, in their order there.
_LOAD_RECORD = struct.Struct("<IHHH")
# The same for `Session`.
_SESSION_RECORD = struct.Struct("<II")
# The records of the packed fields on crashes.
_CRASH_RECORD = struct.Struct("<IIBH")
_KEY_TIME_RECORD = struct.Struct("<II")
# The records of the packed fields on rollouts.
_NEW_ANSWERS_RECORD = struct.Struct("<IIHHHH")
_LIMIT_RECORD = struct.Struct("<IfI")
_PACE_RECORD = struct.Struct("<II")
_TEAM_WORK_RECORD = struct.Struct("<IIff")
_SPEED_RECORD = struct.Struct("<IhH")
_BRITTLE_RECORD = struct.Struct("<IHHI")
_OLD_ANSWERS_RECORD = struct.Struct("<Ifff")
_TIME_RECORD = struct.Struct("<Bf")

_schema = capnp.load(str(Path(__file__).with_name("digest.capnp")))


def encode_digest(digest: Digest) -> bytes:
    """Encode a digest as a packed Cap'n Proto message.

    Values outside the range of a 16-bit field are clamped.
    """
    message = _schema.Digest.new_message(
        host=digest.host,
        incarnation=digest.incarnation,
        sequence=digest.sequence,
        configuration=digest.configuration,
        servers=digest.servers.revision,
        era=digest.servers.era,
        partial=digest.partial,
        zone=digest.zone,
        reading=digest.reading,
        storeFailing=digest.store_failing,
        transitPort=digest.transit_port,
        cutOff=digest.cut_off,
        protocol=digest.protocol,
        entriesReturn=(
            0
            if digest.entries_return is None
            else 1 + _milliseconds(digest.entries_return, _MAX_UINT16 - 1)
        ),
        kinds=[
            {
                "era": kind.position.era,
                "revision": kind.position.revision,
                "fingerprint": kind.fingerprint,
            }
            for kind in digest.kinds
        ],
        updates=[
            {
                "kind": update.kind,
                "era": update.since.era,
                "since": update.since.revision,
                "revision": update.revision,
                "changes": update.changes,
            }
            for update in digest.updates
        ],
        leaving=sorted(digest.leaving),
        packedLoads=_pack_loads(digest.loads),
        rollouts=[
            {
                "service": evidence.service,
                "created": evidence.created,
                "newGood": sum(item.good for item in evidence.new),
                "newBad": sum(item.bad for item in evidence.new),
                "newSlow": sum(item.slow for item in evidence.new),
                "oldGood": sum(item.good for item in evidence.old),
                "oldBad": sum(item.bad for item in evidence.old),
                "oldSlow": sum(item.slow for item in evidence.old),
                "judgedBad": evidence.judged_bad,
                "age": 0
                if evidence.age is None
                else 1 + _milliseconds(evidence.age, _MAX_UINT32 - 1),
                "packedNew": b"".join(
                    _NEW_ANSWERS_RECORD.pack(
                        item.server,
                        item.route,
                        item.second & ~_LOADED_BIT | item.loaded * _LOADED_BIT,
                        min(_MAX_UINT16, item.good),
                        min(_MAX_UINT16, item.bad),
                        min(_MAX_UINT16, item.slow),
                    )
                    for item in evidence.new
                ),
                "packedOld": b"".join(
                    _OLD_ANSWERS_RECORD.pack(item.route, item.good, item.bad, item.slow)
                    for item in evidence.old
                ),
                **_requests_fields(evidence),
                "packedTimes": _pack_times(evidence.usual_times),
                "packedPaces": _pack_times(evidence.usual_paces),
            }
            for evidence in digest.rollouts
        ],
        packedSessions=b"".join(
            _SESSION_RECORD.pack(*item) for item in digest.sessions.items()
        ),
        packedCrashes=b"".join(
            _CRASH_RECORD.pack(
                seen.suspect,
                seen.server,
                min(_MAX_UINT8, seen.position),
                _milliseconds(seen.age, _MAX_UINT16),
            )
            for seen in digest.crashes.observations
        ),
        packedLimits=b"".join(
            _LIMIT_RECORD.pack(
                limit.key, limit.rate, _milliseconds(limit.age, _MAX_UINT32)
            )
            for limit in digest.limits
        ),
        packedBrittle=b"".join(
            _BRITTLE_RECORD.pack(
                item.key,
                _MAX_UINT16
                if item.tolerated is None
                else min(_MAX_UINT16 - 1, item.tolerated),
                min(_MAX_UINT16, item.refusals),
                _milliseconds(item.age, _MAX_UINT32),
            )
            for item in digest.brittle
        ),
        packedPaced=b"".join(
            _PACE_RECORD.pack(item.key, _milliseconds(item.late_age, _MAX_UINT32))
            for item in digest.paced
        ),
        packedTeamWork=b"".join(
            _TEAM_WORK_RECORD.pack(item.service, item.team, item.recent, item.usual)
            for item in digest.team_work
        ),
        packedSpeeds=b"".join(
            _SPEED_RECORD.pack(
                item.server,
                round(item.total / item.answers / LOG_RATIO_PER_UNIT),
                min(_MAX_UINT16, round(item.answers / ANSWERS_PER_UNIT)),
            )
            for item in digest.speeds
            if item.answers >= ANSWERS_PER_UNIT
        ),
        packedAnswered=_pack_key_times(digest.crashes.answered),
        packedQuarantined=_pack_key_times(digest.crashes.quarantined),
        running=sorted(digest.crashes.running),
    )
    return bytes(message.to_bytes_packed())


def _requests_fields(evidence: RolloutEvidence) -> dict[str, int | float]:
    """Return the fields of the schema that tell what a host has sent."""
    requests = evidence.requests
    if requests is None:
        return {}
    return {
        "start": requests.start,
        "sent": min(_MAX_UINT32, requests.sent),
        "sentToNew": min(_MAX_UINT32, requests.to_new),
        "rate": evidence.rate,
        "left": evidence.left,
    }


def _unpack_new_answers(record: tuple[int, ...]) -> NewAnswers:
    """Return answers of a new version from the fields of their record."""
    server, route, second, good, bad, slow = record
    loaded = bool(second & _LOADED_BIT)
    return NewAnswers(server, route, second & ~_LOADED_BIT, good, bad, slow, loaded)


def _unpack_requests(host: str, item: Any) -> HostRequests | None:
    """Return what a host has sent, None if it does not tell it."""
    if not item.start:
        return None
    return HostRequests(host, item.start, item.sent, item.sentToNew)


def _pack_loads(loads: dict[int, HostLoad]) -> bytes:
    return b"".join(
        _LOAD_RECORD.pack(
            server,
            min(_MAX_UINT16, max(0, load.running)),
            min(
                _MAX_UINT16, max(0, round(load.pending_work / PENDING_TOKENS_PER_UNIT))
            ),
            min(
                _MAX_UINT16, max(0, round(load.weighted_running / BUSY_CALLS_PER_UNIT))
            ),
        )
        for server, load in loads.items()
    )


def _pack_times(times: dict[int, float]) -> bytes:
    return b"".join(
        _TIME_RECORD.pack(key, time) for key, time in times.items() if key <= _MAX_UINT8
    )


def _milliseconds(seconds: float, maximum: int) -> int:
    return min(maximum, max(0, round(seconds * _MILLISECONDS_PER_SECOND)))


def _pack_key_times(seconds_by_key: dict[int, float]) -> bytes:
    return b"".join(
        _KEY_TIME_RECORD.pack(key, _milliseconds(seconds, _MAX_UINT32))
        for key, seconds in seconds_by_key.items()
    )


def _unpack_records(packed: bytes, record: struct.Struct) -> Iterator[Any]:
    """Return the records; raise ValueError if the last one is truncated."""
    if len(packed) % record.size:
        raise ValueError("truncated records")
    return record.iter_unpack(packed)


def _unpack_key_times(packed: bytes) -> dict[int, float]:
    return {
        key: milliseconds / _MILLISECONDS_PER_SECOND
        for key, milliseconds in _unpack_records(packed, _KEY_TIME_RECORD)
    }


def _unpack_crashes(reader: Any) -> CrashReport:
    """Return the report on crashes; raise ValueError if it is malformed."""
    observations = _unpack_records(reader.packedCrashes, _CRASH_RECORD)
    return CrashReport(
        tuple(
            CrashObservation(suspect, server, position, age / _MILLISECONDS_PER_SECOND)
            for suspect, server, position, age in observations
        ),
        _unpack_key_times(reader.packedAnswered),
        _unpack_key_times(reader.packedQuarantined),
        frozenset(reader.running),
    )


def _unpack_sessions(reader: Any) -> dict[int, int]:
    """Return the versions by session; raise ValueError if they are malformed."""
    packed = reader.packedSessions
    if packed:
        return dict(_unpack_records(packed, _SESSION_RECORD))
    return {item.key: item.version for item in reader.sessions}


def _unpack_loads(reader: Any) -> dict[int, HostLoad]:
    """Return the loads by server; raise ValueError if they are malformed."""
    packed = reader.packedLoads
    if packed:
        records = _unpack_records(packed, _LOAD_RECORD)
    else:
        records = (
            (load.server, load.running, load.pending, load.busy)
            for load in reader.loads
        )
    return {
        server: HostLoad(
            running, busy * BUSY_CALLS_PER_UNIT, pending * PENDING_TOKENS_PER_UNIT
        )
        for server, running, pending, busy in records
    }


def decode_digest(data: bytes) -> Result[Digest, str]:
    """Decode a datagram; return the first line of the error if it is malformed."""
    try:
        reader = _schema.Digest.from_bytes_packed(data)
        return Ok(
            Digest(
                host=reader.host,
                incarnation=reader.incarnation,
                sequence=reader.sequence,
                configuration=reader.configuration,
                servers=StorePosition(reader.era, reader.servers),
                loads=_unpack_loads(reader),
                rollouts=tuple(
                    RolloutEvidence(
                        service=item.service,
                        created=item.created,
                        new=tuple(
                            map(
                                _unpack_new_answers,
                                _unpack_records(item.packedNew, _NEW_ANSWERS_RECORD),
                            )
                        ),
                        old=tuple(
                            OldAnswers(*record)
                            for record in _unpack_records(
                                item.packedOld, _OLD_ANSWERS_RECORD
                            )
                        ),
                        usual_times=dict(
                            _unpack_records(item.packedTimes, _TIME_RECORD)
                        ),
                        usual_paces=dict(
                            _unpack_records(item.packedPaces, _TIME_RECORD)
                        ),
                        judged_bad=item.judgedBad,
                        age=(item.age - 1) / _MILLISECONDS_PER_SECOND
                        if item.age
                        else None,
                        requests=_unpack_requests(reader.host, item),
                        rate=item.rate,
                        left=item.left,
                    )
                    for item in reader.rollouts
                    if math.isfinite(item.rate) and math.isfinite(item.left)
                ),
                sessions=_unpack_sessions(reader),
                zone=reader.zone,
                reading=reader.reading,
                store_failing=reader.storeFailing,
                transit_port=reader.transitPort,
                cut_off=reader.cutOff,
                protocol=reader.protocol,
                entries_return=(
                    (reader.entriesReturn - 1) / 1000 if reader.entriesReturn else None
                ),
                kinds=tuple(
                    KindState(StorePosition(item.era, item.revision), item.fingerprint)
                    for item in reader.kinds
                ),
                updates=tuple(
                    KindUpdate(
                        item.kind,
                        StorePosition(item.era, item.since),
                        item.revision,
                        item.changes,
                    )
                    for item in reader.updates
                ),
                leaving=frozenset(reader.leaving),
                limits=tuple(
                    LimitReport(key, rate, age / _MILLISECONDS_PER_SECOND)
                    for key, rate, age in _unpack_records(
                        reader.packedLimits, _LIMIT_RECORD
                    )
                    if math.isfinite(rate)
                ),
                brittle=tuple(
                    BrittleReport(
                        key,
                        None if tolerated == _MAX_UINT16 else tolerated,
                        age / _MILLISECONDS_PER_SECOND,
                        refusals,
                    )
                    for key, tolerated, refusals, age in _unpack_records(
                        reader.packedBrittle, _BRITTLE_RECORD
                    )
                ),
                paced=tuple(
                    PaceReport(key, late_age / _MILLISECONDS_PER_SECOND)
                    for key, late_age in _unpack_records(
                        reader.packedPaced, _PACE_RECORD
                    )
                ),
                team_work=tuple(
                    TeamWork(*record)
                    for record in _unpack_records(
                        reader.packedTeamWork, _TEAM_WORK_RECORD
                    )
                    if all(map(math.isfinite, record))
                ),
                speeds=tuple(
                    SpeedReport(
                        server,
                        mean * LOG_RATIO_PER_UNIT * answers * ANSWERS_PER_UNIT,
                        answers * ANSWERS_PER_UNIT,
                    )
                    for server, mean, answers in _unpack_records(
                        reader.packedSpeeds, _SPEED_RECORD
                    )
                ),
                crashes=_unpack_crashes(reader),
                partial=reader.partial,
            )
        )
    except (capnp.KjException, ValueError) as error:
        return Err(str(error).split("\n", 1)[0])
