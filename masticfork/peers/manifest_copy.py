"""Compression of manifests that are sent to peers."""

import zlib

from result import Err, Ok, Result

from masticfork.core.findings import Finding, Findings, SourceLocation

# Maximum size of a value in the platform's store.
MAX_TEXT_BYTES = 1024 * 1024


def pack_manifest(text: str) -> bytes:
    """Return a manifest's text, compressed."""
    return zlib.compress(text.encode())


def unpack_manifest(packed: bytes, place: SourceLocation) -> Result[str, Findings]:
    """Decompress a manifest; return a finding if it is invalid or too long."""
    decompressor = zlib.decompressobj()
    try:
        raw = decompressor.decompress(packed, MAX_TEXT_BYTES + 1)
        text = raw.decode()
    except (zlib.error, UnicodeDecodeError):
        return _error(place, "manifest cannot be decompressed")
    if len(raw) > MAX_TEXT_BYTES:
        return _error(place, f"manifest is longer than {MAX_TEXT_BYTES} bytes")
    if not decompressor.eof:
        return _error(place, "compressed manifest is truncated")
    return Ok(text)


def _error(place: SourceLocation, message: str) -> Err[Findings]:
    return Err((Finding("manifest_copy", place, message),))
