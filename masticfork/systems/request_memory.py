"""Bound the memory that a host holds for the requests of all its callers.

The limits of the configuration bound each request by itself. This bounds the sum: if it
is too large, requests that have not been received completely are refused, first those
of callers who have stopped sending.
"""

from collections.abc import Iterable

import attrs

# Objects of a request, and of each of its header lines: a tuple and two byte strings.
REQUEST_BYTES, HEADER_LINE_BYTES = 2048, 200
# Copies of the body of a request that is being handled: the one that may be sent again,
# and what a server has not taken yet.
HANDLED_BODY_COPIES = 2
# A request of less is not refused for its size while the host holds less than the limit
# and a reserve, as a share of the limit.
SMALL_REQUEST_BYTES = 64 << 10
SMALL_REQUEST_RESERVE = 0.25
# Time without progress after which a caller counts as having stopped.
STALL_SECONDS = 0.5
# Share of the limit down to which requests are refused, so that it is not done anew for
# each read.
RELIEF_SHARE = 0.9


def request_memory(header_lines: int, header_bytes: int, body_bytes: int) -> int:
    """Return the bytes that a request takes."""
    return REQUEST_BYTES + HEADER_LINE_BYTES * header_lines + header_bytes + body_bytes


@attrs.frozen
class IncompleteRequest:
    """A request that has not been received completely."""

    # Identifies the connection on this host.
    connection: int
    size: int
    # Time at which the last of it arrived, in seconds.
    progressed_at: float


def choose_refused(
    requests: Iterable[IncompleteRequest], held: int, limit: int, now: float
) -> list[IncompleteRequest]:
    """Return the requests to refuse, so that a host holds less than the limit.

    `held` is what it holds for all requests. Requests whose callers have stopped go
    first, the largest ones of them and then of the others.
    """
    if held <= limit:
        return []
    excess = held - RELIEF_SHARE * limit
    refused = []
    for request in sorted(requests, key=lambda request: _rank(request, now)):
        if excess <= 0 or request.size == held:
            # A request that is the only one may be as large as the configuration says.
            break
        refused.append(request)
        excess -= request.size
        held -= request.size
    return refused


def is_admitted(size: int, held: int, limit: int) -> bool:
    """Return whether a complete request is handled.

    `held` is what the host holds for all requests, including this one's `size`.
    """
    if held <= limit or size == held:
        return True
    return size <= SMALL_REQUEST_BYTES and held <= (1 + SMALL_REQUEST_RESERVE) * limit


def _rank(request: IncompleteRequest, now: float) -> tuple[bool, int, float]:
    is_moving = now - request.progressed_at < STALL_SECONDS
    return is_moving, -request.size, request.progressed_at
