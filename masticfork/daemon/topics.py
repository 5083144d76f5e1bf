"""Hand evidence messages of peers to the part that their topic belongs to."""

from collections.abc import Callable

import logbook

from masticfork.peers.messages import Body, Declined, Evidence
from masticfork.peers.records import Sender

TopicHandler = Callable[[Sender, Evidence], Body | None]

_log = logbook.Logger("peers")


class Topics:
    """The handlers of evidence by topic; a topic of a newer daemon is declined."""

    def __init__(self) -> None:
        self._handlers: dict[str, TopicHandler] = {}

    def register(self, topic: str, handler: TopicHandler) -> None:
        """Hand messages of the topic to the handler from now on."""
        self._handlers[topic] = handler

    def __call__(self, sender: Sender, body: Evidence, /) -> Body | None:
        """Return the handler's reply."""
        handler = self._handlers.get(body.topic)
        if handler is None:
            _log.debug("unknown topic", topic=body.topic, sender=sender.host)
            return Declined("unknown topic")
        return handler(sender, body)
