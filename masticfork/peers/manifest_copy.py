"""The compressed text of a manifest, as peers hand it on."""

import zlib

from result import Err, Ok, Result

from masticfork.core.findings import Finding, Findings, Place

# The greatest size of a value at the platform.
MAX_TEXT_BYTES = 1024 * 1024


def pack_manifest(text: str) -> bytes:
    """Compress a manifest's text."""
    return zlib.compress(text.encode())


def unpack_manifest(packed: bytes, place: Place) -> Result[str, Findings]:
    """Return the text of at most MAX_TEXT_BYTES, or a finding."""
    unpacker = zlib.decompressobj()
    try:
        raw = unpacker.decompress(packed, MAX_TEXT_BYTES + 1)
        text = raw.decode()
    except (zlib.error, UnicodeDecodeError):
        return _refused(place, "manifest cannot be decompressed")
    if len(raw) > MAX_TEXT_BYTES:
        return _refused(place, f"manifest is longer than {MAX_TEXT_BYTES} bytes")
    if not unpacker.eof:
        return _refused(place, "manifest is cut short")
    return Ok(text)


def _refused(place: Place, message: str) -> Err[Findings]:
    return Err((Finding("manifest_copy", place, message),))
