"""Dispatch evidence messages from peers to the handler of their topic."""

from collections.abc import Callable

import logbook

from masticfork.peers.messages import Body, Declined, Evidence
from masticfork.peers.records import Sender

TopicHandler = Callable[[Sender, Evidence], Body | None]

_log = logbook.Logger("peers")


class TopicDispatcher:
    """Dispatches by topic; declines topics that only newer daemons know."""

    def __init__(self) -> None:
        self._handlers: dict[str, TopicHandler] = {}

    def register(self, topic: str, handler: TopicHandler) -> None:
        """Set the handler of a topic."""
        self._handlers[topic] = handler

    def __call__(self, sender: Sender, body: Evidence, /) -> Body | None:
        """Return the handler's reply; decline an unknown topic."""
        handler = self._handlers.get(body.topic)
        if handler is None:
            _log.debug("unknown topic", topic=body.topic, sender=sender.host)
            return Declined("unknown topic")
        return handler(sender, body)
