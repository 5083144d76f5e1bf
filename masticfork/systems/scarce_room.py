"""Decide on a request by the room that its service has: admit, yield or refuse."""

import attrs

# Fraction of the target latency that a request waits for room, beyond which the room of
# a service is scarce.
SCARCE_TARGET_SHARE = 0.5
# Shortest time after which a refused request may come back, in seconds.
MIN_RETRY_AFTER_SECONDS = 0.25


@attrs.frozen
class RoomRequest:
    """What the decision on one request depends on; times in seconds."""

    # 0 is the most urgent.
    priority: int
    # Whether its team sends far more than its usual part of the work; tells nothing
    # unless room is scarce.
    over_share: bool
    # Whether servers of the service admit requests in the order of their priorities.
    ordered: bool
    target: float
    time_left: float
    # Time to the first byte of the answer at the best server.
    expected: float


@attrs.frozen
class Admission:
    """The request is sent, with this priority."""

    priority: int
    # Why the priority is not the request's own, empty if it is.
    why: str = ""


@attrs.frozen
class RoomRefusal:
    """The request is refused before it is sent."""

    why: str
    # Seconds after which there may be room.
    retry_after: float


def is_scarce(expected: float, target: float) -> bool:
    """Return whether a request would wait too long for room; both in seconds."""
    return expected > SCARCE_TARGET_SHARE * target


def decide(request: RoomRequest) -> Admission | RoomRefusal:
    """Return what becomes of a request.

    One that cannot be answered in its time would only delay others. A team over its
    share yields to others while room is scarce: by one priority where the servers keep
    an order, which bounds what it loses, and else by a refusal once it would be late.
    """
    if request.expected >= request.time_left:
        wait = request.expected - request.time_left
        return RoomRefusal("no room in time", max(MIN_RETRY_AFTER_SECONDS, wait))
    if not (request.over_share and is_scarce(request.expected, request.target)):
        return Admission(request.priority)
    if request.ordered:
        return Admission(request.priority + 1, "team over its share")
    if request.expected <= request.target:
        return Admission(request.priority)
    wait = request.expected - request.target
    return RoomRefusal("team over its share", max(MIN_RETRY_AFTER_SECONDS, wait))
