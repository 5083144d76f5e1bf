"""Kinds of values that settings hold, each checked when it is read."""

import ipaddress
import re
from collections.abc import Callable
from typing import Annotated, Any
from urllib.parse import urlsplit

import cattrs

from masticfork.settings.structure import (
    ValueFault,
    require_integer,
    require_number,
    require_text,
)

# A name of a host, zone, region, team or key.
Name = Annotated[str, "name"]
# The IP number of a listener.
IpAddress = Annotated[str, "ip address"]
# A TCP port; 0 lets the system choose one.
ListenPort = Annotated[int, "listen port"]
# An IP number and a port, `10.0.0.1:7000` or `[::1]:7000`.
SocketAddress = Annotated[str, "socket address"]
# An http or https address without query.
BaseUrl = Annotated[str, "base url"]
# A secret in hexadecimal.
SecretHex = Annotated[str, "secret hex"]
# The salt of a key's hash in hexadecimal.
SaltHex = Annotated[str, "salt hex"]
# A SHA-256 in hexadecimal.
Sha256Hex = Annotated[str, "sha256 hex"]
Seconds = Annotated[float, "seconds"]
Count = Annotated[int, "count"]

MAX_PORT = 65535

NAME_RULE = "expected 1 to 63 letters, digits, '.', '_' or '-', a letter or digit first"

# Least length of a secret in bytes, that of a SHA-256.
MIN_SECRET_BYTES = 32

# Least length of a salt in bytes.
MIN_SALT_BYTES = 8

_HEX = re.compile(r"(?:[0-9a-fA-F]{2})*")
_NAME = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]{0,62}")
_SHA256 = re.compile(r"[0-9a-f]{64}")


def split_address(address: str) -> tuple[str, int]:
    """Split `HOST:PORT`; raise ValueError where it is malformed."""
    host, separator, port = address.rpartition(":")
    if not separator or not re.fullmatch(r"[0-9]{1,5}", port):
        raise ValueError("expected IP:PORT")
    host = host.removeprefix("[").removesuffix("]")
    ipaddress.ip_address(host)
    if not 1 <= int(port) <= MAX_PORT:
        raise ValueError(f"expected a port from 1 to {MAX_PORT}")
    return host, int(port)


def is_name(text: str) -> bool:
    """Tell whether a text is fit for a name."""
    return _NAME.fullmatch(text) is not None


def is_ip_address(text: str) -> bool:
    """Tell whether a text is an IP number."""
    try:
        ipaddress.ip_address(text)
    except ValueError:
        return False
    return True


def is_salt(text: str) -> bool:
    """Tell whether a text is a salt in hexadecimal."""
    return bool(_HEX.fullmatch(text)) and len(text) >= 2 * MIN_SALT_BYTES


def is_sha256(text: str) -> bool:
    """Tell whether a text is a SHA-256 in lower-case hexadecimal."""
    return _SHA256.fullmatch(text) is not None


def register_values(converter: cattrs.Converter) -> None:
    """Teach the converter the kinds of this module."""
    for kind, check in _CHECKS:
        _register(converter, kind, check)


def _register(
    converter: cattrs.Converter, kind: Any, check: Callable[[Any], Any]
) -> None:
    converter.register_structure_hook_func(
        lambda other: other == kind, lambda value, _: check(value)
    )


def _name(value: Any) -> str:
    text = require_text(value)
    if not is_name(text):
        raise ValueFault("name", NAME_RULE)
    return text


def _ip_address(value: Any) -> str:
    text = require_text(value)
    if not is_ip_address(text):
        raise ValueFault("address", f"{text!r} is not an IP number")
    return text


def _listen_port(value: Any) -> int:
    port = require_integer(value)
    if not 0 <= port <= MAX_PORT:
        raise ValueFault("address", f"expected a port from 0 to {MAX_PORT}")
    return port


def _socket_address(value: Any) -> str:
    text = require_text(value)
    try:
        split_address(text)
    except ValueError:
        raise ValueFault("address", f"{text!r} is not IP:PORT") from None
    return text


def _base_url(value: Any) -> str:
    text = require_text(value)
    try:
        parts = urlsplit(text)
        valid = bool(parts.hostname) and parts.port != 0
    except ValueError:
        valid = False
    if not valid or parts.scheme not in ("http", "https") or parts.query:
        raise ValueFault("address", f"{text!r} is not an http or https URL")
    return text.rstrip("/")


def _secret(value: Any) -> str:
    text = require_text(value)
    if not _HEX.fullmatch(text):
        raise ValueFault("secret", "expected hexadecimal digits in pairs")
    if len(text) < 2 * MIN_SECRET_BYTES:
        raise ValueFault("secret", f"shorter than {MIN_SECRET_BYTES} bytes")
    return text


def _salt(value: Any) -> str:
    text = require_text(value)
    if not is_salt(text):
        message = f"expected {MIN_SALT_BYTES} or more bytes in hexadecimal"
        raise ValueFault("key_hash", message)
    return text


def _sha256(value: Any) -> str:
    text = require_text(value)
    if not is_sha256(text):
        raise ValueFault("key_hash", "expected 64 lower-case hexadecimal digits")
    return text


def _seconds(value: Any) -> float:
    seconds = require_number(value)
    if seconds <= 0:
        raise ValueFault("value", "expected more than 0 seconds")
    return seconds


def _count(value: Any) -> int:
    count = require_integer(value)
    if count < 1:
        raise ValueFault("value", "expected at least 1")
    return count


_CHECKS: tuple[tuple[Any, Callable[[Any], Any]], ...] = (
    (Name, _name),
    (IpAddress, _ip_address),
    (ListenPort, _listen_port),
    (SocketAddress, _socket_address),
    (BaseUrl, _base_url),
    (SecretHex, _secret),
    (SaltHex, _salt),
    (Sha256Hex, _sha256),
    (Seconds, _seconds),
    (Count, _count),
)
