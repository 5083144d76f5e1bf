"""Decompression of data that other hosts send."""

import zlib


def decompress_bounded(data: bytes, max_bytes: int) -> bytes:
    """Return decompressed data.

    Raise ValueError if it is malformed, incomplete or longer than `max_bytes`.
    """
    decompressor = zlib.decompressobj()
    try:
        value = decompressor.decompress(data, max_bytes)
    except zlib.error as error:
        raise ValueError(f"malformed compressed data: {error}") from error
    if not decompressor.eof:
        raise ValueError("compressed data is too long or incomplete")
    return value
