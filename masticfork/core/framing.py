"""Limits for the bytes of a message that are not its content."""

import attrs

# A response with a larger head, including interim (1xx) responses and empty lines ahead
# of it, is treated as malformed.
MAX_RESPONSE_HEAD_BYTES = 64 << 10
# The same for one with more header lines, each of which takes objects of its own.
MAX_RESPONSE_HEADER_LINES = 1000
# Limit on the bytes of a body that are not its content (sizes and extensions of chunks,
# trailers): a constant, and a multiple of the content received so far. One byte to a
# chunk needs five.
MAX_FRAMING_BYTES = 64 << 10
MAX_FRAMING_BYTES_PER_BODY_BYTE = 16


@attrs.define
class FramingMeter:
    """Compares what was received of a body with its content.

    `received_bytes` may leave out what arrived in one read with the end of the head.
    """

    received_bytes: int = 0
    content_bytes: int = 0

    @property
    def exceeded(self) -> bool:
        """Return whether more than the limit is not content."""
        limit = MAX_FRAMING_BYTES + MAX_FRAMING_BYTES_PER_BODY_BYTE * self.content_bytes
        return self.received_bytes - self.content_bytes > limit
