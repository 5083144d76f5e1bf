"""Length-prefixed frames over a TCP socket."""

import socket
import struct

from result import Err, Ok, Result

from masticfork.peers.drops import DropReason

_LENGTH = struct.Struct(">I")
FRAME_OVERHEAD_BYTES = _LENGTH.size
_READ_BYTES = 65536


def frame(payload: bytes) -> bytes:
    """Return the payload, prefixed with its length."""
    return _LENGTH.pack(len(payload)) + payload


def receive_frame(sock: socket.socket, limit: int) -> Result[bytes, DropReason]:
    """Read one frame of 1 to `limit` bytes; the socket's timeout is per read."""
    header = _receive(sock, _LENGTH.size)
    if isinstance(header, Err):
        return header
    (length,) = _LENGTH.unpack(header.ok_value)
    if length > limit:
        return Err(DropReason.OVERSIZE)
    if length == 0:
        return Err(DropReason.MALFORMED)
    return _receive(sock, length)


def _receive(sock: socket.socket, count: int) -> Result[bytes, DropReason]:
    chunks: list[bytes] = []
    while count:
        try:
            chunk = sock.recv(min(count, _READ_BYTES))
        except TimeoutError:
            return Err(DropReason.SILENT)
        except OSError:
            return Err(DropReason.CLOSED)
        if not chunk:
            return Err(DropReason.CLOSED)
        chunks.append(chunk)
        count -= len(chunk)
    return Ok(b"".join(chunks))
