"""Read the generations that an engine reports."""

import http.client
import json
from typing import Any
from urllib.parse import urlsplit

from result import Err, Ok, Result

from masticfork.admin.client import CallFailure, FailureKind

COUNTS_PATH = "/_counts"


def read_generations(
    url: str, timeout_seconds: float
) -> Result[list[dict[str, Any]], CallFailure]:
    """Return the generations that the engine at `url` reports."""
    parts = urlsplit(url)
    connection = http.client.HTTPConnection(
        parts.hostname or "", parts.port, timeout=timeout_seconds
    )
    try:
        connection.request("GET", COUNTS_PATH)
        generations = json.loads(connection.getresponse().read())["generations"]
        return Ok(list(generations))
    except (OSError, http.client.HTTPException, ValueError, KeyError) as error:
        message = f"{url}: cannot read generations: {error!r}"
        return Err(CallFailure(FailureKind.UNREACHABLE, message))
    finally:
        connection.close()
