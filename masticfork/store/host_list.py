"""Client of the platform's list of live and leaving hosts, which may be out of date."""

import http.client
import json

import attrs
from result import Err, Ok, Result

from masticfork.store.client import ErrorKind, PlatformError

CALL_TIMEOUT_SECONDS = 2.0
_OK = 200


@attrs.frozen
class ListedAddress:
    """One entry of the host list; `kind` is `entry`, `engine` or `service`."""

    name: str
    address: str
    zone: str
    kind: str
    leaving: bool


def read_host_list(address: str) -> Result[tuple[ListedAddress, ...], PlatformError]:
    """Return the complete list from the service at `address`, a `HOST:PORT`."""
    connection = http.client.HTTPConnection(address, timeout=CALL_TIMEOUT_SECONDS)
    try:
        connection.request("GET", "/hosts")
        response = connection.getresponse()
        content = response.read()
    except (OSError, http.client.HTTPException) as error:
        return Err(PlatformError(ErrorKind.UNAVAILABLE, repr(error)))
    finally:
        connection.close()
    if response.status != _OK:
        message = f"the host list service returned HTTP status {response.status}"
        return Err(PlatformError(ErrorKind.UNAVAILABLE, message))
    return _parse(content)


def _parse(content: bytes) -> Result[tuple[ListedAddress, ...], PlatformError]:
    try:
        rows = json.loads(content)["hosts"]
        listed = tuple(
            ListedAddress(
                str(row["name"]),
                str(row["address"]),
                str(row["zone"]),
                str(row["kind"]),
                row["state"] == "leaving",
            )
            for row in rows
        )
    except (ValueError, KeyError, TypeError) as error:
        message = f"malformed host list: {error!r}"
        return Err(PlatformError(ErrorKind.UNAVAILABLE, message))
    return Ok(listed)
