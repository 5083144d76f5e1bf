"""The coding of digests by Cap'n Proto."""

from pathlib import Path

import capnp
from result import Err, Ok, Result

from masticfork.core.digests import Digest, LoadShare, RolloutEvidence

# Pending work is told in steps of this many tokens.
PENDING_STEP = 1000.0
# Weighed calls are told in steps of this size.
BUSY_STEP = 0.1
_MOST_16_BITS = 0xFFFF

_schema = capnp.load(str(Path(__file__).with_name("digest.capnp")))


def encode_digest(digest: Digest) -> bytes:
    """Return the datagram of a digest."""
    message = _schema.Digest.new_message(
        host=digest.host,
        incarnation=digest.incarnation,
        sequence=digest.sequence,
        configuration=digest.configuration,
        servers=digest.servers,
        partial=digest.partial,
        loads=[
            {
                "server": server,
                "running": min(_MOST_16_BITS, max(0, load.running)),
                "busy": min(_MOST_16_BITS, max(0, round(load.busy / BUSY_STEP))),
                "pending": min(
                    _MOST_16_BITS, max(0, round(load.pending_work / PENDING_STEP))
                ),
            }
            for server, load in digest.loads.items()
        ],
        rollouts=[
            {
                "service": row.service,
                "created": row.created,
                "newGood": row.new_good,
                "newBad": row.new_bad,
                "oldGood": row.old_good,
                "oldBad": row.old_bad,
                "newSlow": row.new_slow,
                "oldSlow": row.old_slow,
                "oldRunning": min(_MOST_16_BITS, max(0, row.old_running)),
            }
            for row in digest.rollouts
        ],
        sessions=[
            {"key": key, "version": version} for key, version in digest.sessions.items()
        ],
    )
    return bytes(message.to_bytes_packed())


def decode_digest(data: bytes) -> Result[Digest, str]:
    """Return the digest in a datagram, or why there is none."""
    try:
        row = _schema.Digest.from_bytes_packed(data)
        return Ok(
            Digest(
                host=row.host,
                incarnation=row.incarnation,
                sequence=row.sequence,
                configuration=row.configuration,
                servers=row.servers,
                loads={
                    load.server: LoadShare(
                        load.running,
                        load.busy * BUSY_STEP,
                        load.pending * PENDING_STEP,
                    )
                    for load in row.loads
                },
                rollouts=tuple(
                    RolloutEvidence(
                        service=part.service,
                        created=part.created,
                        new_good=part.newGood,
                        new_bad=part.newBad,
                        old_good=part.oldGood,
                        old_bad=part.oldBad,
                        old_running=part.oldRunning,
                        new_slow=part.newSlow,
                        old_slow=part.oldSlow,
                    )
                    for part in row.rollouts
                ),
                sessions={part.key: part.version for part in row.sessions},
                partial=row.partial,
            )
        )
    except (capnp.KjException, ValueError) as error:
        return Err(str(error).split("\n", 1)[0])
