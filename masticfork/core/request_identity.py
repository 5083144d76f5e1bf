"""What makes two requests of callers the same, apart from their attempt IDs."""

import attrs

from masticfork.core.forwarding import CallerRequest, shared_parts
from masticfork.core.ids import request_key, short_key


@attrs.define(eq=False)
class RequestIdentity:
    """Short keys of a request and of the prompt parts that others may share.

    They hold for one service: what crashes its servers may be sound at another one.
    """

    service: str
    request: CallerRequest
    _key: int | None = None

    @property
    def key(self) -> int:
        """Return the key of the request: its caller, target and body."""
        if self._key is None:
            request = self.request
            self._key = request_key(
                self.service,
                request.method,
                request.host.encode("latin-1"),
                request.target,
                (request.head.key or "").encode("latin-1"),
                request.body,
            )
        return self._key

    @property
    def part_names(self) -> list[str]:
        """Return the names of the shared parts."""
        return [part.id for part in shared_parts(self.request.head.prompt)]

    @property
    def part_keys(self) -> list[int]:
        """Return the keys of the shared parts."""
        return [short_key(f"{self.service}/{name}") for name in self.part_names]
