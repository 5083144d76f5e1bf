"""Value types of the settings, each with the check that cattrs applies."""

import ipaddress
import re
from collections.abc import Callable
from typing import Annotated, Any
from urllib.parse import urlsplit

import cattrs

from masticfork.settings.structure import (
    InvalidValueError,
    require_integer,
    require_number,
    require_text,
)

# A name of a host, zone, region, team or key.
Name = Annotated[str, "name"]
# The IP address of a listener.
IpAddress = Annotated[str, "ip address"]
# A TCP port; 0 lets the operating system choose one.
ListenPort = Annotated[int, "listen port"]
# An IP address and a port, `10.0.0.1:7000` or `[::1]:7000`.
SocketAddress = Annotated[str, "socket address"]
# An http or https URL without a query.
BaseUrl = Annotated[str, "base url"]
# A secret in hexadecimal, at least `MIN_SECRET_BYTES` long.
SecretHex = Annotated[str, "secret hex"]
# The salt of a key's hash in hexadecimal.
SaltHex = Annotated[str, "salt hex"]
# A SHA-256 in lower-case hexadecimal.
Sha256Hex = Annotated[str, "sha256 hex"]
Seconds = Annotated[float, "seconds"]
Count = Annotated[int, "count"]

MAX_PORT = 65535

NAME_RULE = (
    "expected 1 to 63 letters, digits, '.', '_' or '-', starting with a letter or digit"
)

# Minimum length of a secret in bytes: the output size of SHA-256.
MIN_SECRET_BYTES = 32

# Minimum length of a salt in bytes.
MIN_SALT_BYTES = 8

_HEX = re.compile(r"(?:[0-9a-fA-F]{2})*")
_NAME = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]{0,62}")
_SHA256 = re.compile(r"[0-9a-f]{64}")


def split_address(address: str) -> tuple[str, int]:
    """Split `IP:PORT`, an IPv6 address in brackets; raise ValueError if malformed."""
    host, separator, port = address.rpartition(":")
    if not separator or not re.fullmatch(r"[0-9]{1,5}", port):
        raise ValueError("expected IP:PORT")
    host = host.removeprefix("[").removesuffix("]")
    ipaddress.ip_address(host)
    if not 1 <= int(port) <= MAX_PORT:
        raise ValueError(f"expected a port from 1 to {MAX_PORT}")
    return host, int(port)


def is_name(text: str) -> bool:
    """Return whether a text is a valid name, see `NAME_RULE`."""
    return _NAME.fullmatch(text) is not None


def is_ip_address(text: str) -> bool:
    """Return whether a text is an IPv4 or IPv6 address."""
    try:
        ipaddress.ip_address(text)
    except ValueError:
        return False
    return True


def is_salt(text: str) -> bool:
    """Return whether a text is a sufficiently long salt in hexadecimal."""
    return bool(_HEX.fullmatch(text)) and len(text) >= 2 * MIN_SALT_BYTES


def is_sha256(text: str) -> bool:
    """Return whether a text is a SHA-256 in lower-case hexadecimal."""
    return _SHA256.fullmatch(text) is not None


def register_values(converter: cattrs.Converter) -> None:
    """Register the checks of this module's value types with the converter."""
    for kind, check in _CHECKS:
        _register(converter, kind, check)


def _register(
    converter: cattrs.Converter, kind: Any, check: Callable[[Any], Any]
) -> None:
    converter.register_structure_hook_func(
        lambda other: other == kind, lambda value, _: check(value)
    )


def _check_name(value: Any) -> str:
    text = require_text(value)
    if not is_name(text):
        raise InvalidValueError("name", NAME_RULE)
    return text


def _check_ip_address(value: Any) -> str:
    text = require_text(value)
    if not is_ip_address(text):
        raise InvalidValueError("address", f"{text!r} is not an IP address")
    return text


def _check_listen_port(value: Any) -> int:
    port = require_integer(value)
    if not 0 <= port <= MAX_PORT:
        raise InvalidValueError("address", f"expected a port from 0 to {MAX_PORT}")
    return port


def _check_socket_address(value: Any) -> str:
    text = require_text(value)
    try:
        split_address(text)
    except ValueError:
        raise InvalidValueError("address", f"{text!r} is not IP:PORT") from None
    return text


def _check_base_url(value: Any) -> str:
    text = require_text(value)
    try:
        parts = urlsplit(text)
        valid = bool(parts.hostname) and parts.port != 0
    except ValueError:
        valid = False
    if not valid or parts.scheme not in ("http", "https") or parts.query:
        raise InvalidValueError("address", f"{text!r} is not an http or https URL")
    return text.rstrip("/")


def _check_secret(value: Any) -> str:
    text = require_text(value)
    if not _HEX.fullmatch(text):
        raise InvalidValueError("secret", "expected hexadecimal digits in pairs")
    if len(text) < 2 * MIN_SECRET_BYTES:
        raise InvalidValueError("secret", f"expected at least {MIN_SECRET_BYTES} bytes")
    return text


def _check_salt(value: Any) -> str:
    text = require_text(value)
    if not is_salt(text):
        message = f"expected {MIN_SALT_BYTES} or more bytes in hexadecimal"
        raise InvalidValueError("key_hash", message)
    return text


def _check_sha256(value: Any) -> str:
    text = require_text(value)
    if not is_sha256(text):
        raise InvalidValueError("key_hash", "expected 64 lower-case hexadecimal digits")
    return text


def _check_seconds(value: Any) -> float:
    seconds = require_number(value)
    if seconds <= 0:
        raise InvalidValueError("value", "expected a time greater than 0 seconds")
    return seconds


def _check_count(value: Any) -> int:
    count = require_integer(value)
    if count < 1:
        raise InvalidValueError("value", "expected at least 1")
    return count


_CHECKS: tuple[tuple[Any, Callable[[Any], Any]], ...] = (
    (Name, _check_name),
    (IpAddress, _check_ip_address),
    (ListenPort, _check_listen_port),
    (SocketAddress, _check_socket_address),
    (BaseUrl, _check_base_url),
    (SecretHex, _check_secret),
    (SaltHex, _check_salt),
    (Sha256Hex, _check_sha256),
    (Seconds, _check_seconds),
    (Count, _check_count),
)
