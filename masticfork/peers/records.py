"""Settings and callbacks of the peer link."""

from collections.abc import Callable, Mapping
from typing import Any, Protocol

import attrs

from masticfork.core.ids import HostName, ZoneName
from masticfork.peers.authentication import PeerKey
from masticfork.peers.messages import Body


@attrs.frozen
class LinkSettings:
    """Settings of a link; addresses are `IP:PORT`."""

    host: HostName
    zone: ZoneName
    address: str
    # The first key signs, all of them verify.
    keys: tuple[PeerKey, ...]
    incarnation: int
    seeds: tuple[str, ...] = ()
    # A connection on which nothing arrives for this long is closed.
    silence_seconds: float = 5.0
    handshake_seconds: float = 2.0
    # Interval at which links to peers that are no longer selected are closed.
    prune_seconds: float = 2.0


@attrs.frozen
class Sender:
    """Sender of a message, from its authenticated envelope."""

    host: HostName
    incarnation: int


class Handler(Protocol):
    """Handles one kind of message; must not wait for a peer."""

    def __call__(self, sender: Sender, body: Any, /) -> Body | None:
        """Return the reply if the message is a request, else None."""


def _ignore(sender: Sender) -> None:
    """Ignore the event."""


@attrs.frozen
class Handlers:
    """Callbacks, which the link calls from its own threads."""

    bodies: Mapping[type[Any], Handler]
    linked: Callable[[Sender], None] = _ignore
    unlinked: Callable[[Sender], None] = _ignore
    # Either side pruned the link; both hosts keep running.
    pruned: Callable[[Sender], None] = _ignore
