"""What users of the peer link hand in and get."""

from collections.abc import Callable, Mapping
from typing import Any, Protocol

import attrs

from masticfork.core.ids import HostName, ZoneName
from masticfork.peers.authentication import PeerKey
from masticfork.peers.messages import Body


@attrs.frozen
class LinkSettings:
    """What a link needs to know of its host; addresses are `IP:PORT`."""

    host: HostName
    zone: ZoneName
    address: str
    # The first key signs, all of them verify.
    keys: tuple[PeerKey, ...]
    incarnation: int
    seeds: tuple[str, ...] = ()
    # A connection without a byte for this long is closed.
    silence_seconds: float = 5.0
    handshake_seconds: float = 2.0
    # Time between closing two links that are no longer chosen.
    prune_seconds: float = 2.0


@attrs.frozen
class Sender:
    """Who sent a message, by the authenticated envelope."""

    host: HostName
    incarnation: int


class Handler(Protocol):
    """Acts on one kind of message; must not wait on a peer."""

    def __call__(self, sender: Sender, body: Any, /) -> Body | None:
        """Return the reply where the message is a request."""


def _ignore(sender: Sender) -> None:
    """Do nothing."""


@attrs.frozen
class Handlers:
    """What the link calls, from its own threads."""

    bodies: Mapping[type[Any], Handler]
    linked: Callable[[Sender], None] = _ignore
    unlinked: Callable[[Sender], None] = _ignore
    # One side gave the link up although both go on running.
    parted: Callable[[Sender], None] = _ignore
