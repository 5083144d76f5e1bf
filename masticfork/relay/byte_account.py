"""Sums of bytes that many holders take."""

from typing import Generic, TypeVar

H = TypeVar("H")


class ByteAccount(Generic[H]):
    """The bytes that each holder takes, and their sum."""

    def __init__(self) -> None:
        self._sizes: dict[H, int] = {}
        self._total = 0

    @property
    def total(self) -> int:
        """Return the bytes that all holders take."""
        return self._total

    @property
    def sizes(self) -> dict[H, int]:
        """Return the bytes by holder; those that take none are missing."""
        return self._sizes

    def update(self, holder: H, size: int) -> None:
        """Set what a holder takes."""
        self._total += size - self._sizes.pop(holder, 0)
        if size:
            self._sizes[holder] = size
