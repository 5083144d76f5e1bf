"""Client of the rating service, which rates generated answers."""

import http.client
import json
from collections.abc import Callable

import cattrs
from result import Err, Ok, Result

from masticfork.core.deadlines import Deadline
from masticfork.core.ids import RequestId, TeamName, VersionId
from masticfork.core.manifest import WorkClass
from masticfork.core.ratings import Rating
from masticfork.store.client import ErrorKind, PlatformError

CALL_TIMEOUT_SECONDS = 2.0
MAX_PAGE_RATINGS = 500
_ACCEPTED = 202
_OK = 200


class RatingClient:
    """Requests ratings of answers and reads the finished ones."""

    def __init__(self, address: str, now: Callable[[], float]) -> None:
        self._address = address
        self._now = now

    def request(
        self,
        request_id: RequestId,
        version: VersionId,
        work_class: WorkClass,
        team: TeamName,
        text: str,
    ) -> Result[None, PlatformError]:
        """Request the rating of an answer; a failed call is not repeated."""
        body = {
            "request_id": request_id,
            "version": version,
            "class": work_class.value,
            "team": team,
            "text": text,
        }
        outcome = self._call("POST", "/ratings/requests", json.dumps(body))
        return outcome.map(lambda _: None)

    def read(self, after: int) -> Result[tuple[Rating, ...], PlatformError]:
        """Return the ratings after a sequence number, oldest first.

        At most MAX_PAGE_RATINGS are returned.
        """
        path = f"/ratings?after={after}&limit={MAX_PAGE_RATINGS}"
        return self._call("GET", path, None).and_then(_parse)

    def _call(
        self, method: str, path: str, body: str | None
    ) -> Result[bytes, PlatformError]:
        connection = http.client.HTTPConnection(
            self._address, timeout=CALL_TIMEOUT_SECONDS
        )
        try:
            headers = {"Content-Type": "application/json"}
            connection.request(method, path, body, headers)
            response = connection.getresponse()
            content = response.read()
        except (OSError, http.client.HTTPException) as error:
            return Err(PlatformError(ErrorKind.UNAVAILABLE, repr(error)))
        finally:
            connection.close()
        if response.status not in (_OK, _ACCEPTED):
            retry_at = Deadline.after(self._now(), CALL_TIMEOUT_SECONDS)
            message = f"the rating service returned HTTP status {response.status}"
            return Err(PlatformError(ErrorKind.UNAVAILABLE, message, retry_at))
        return Ok(content)


def _parse(content: bytes) -> Result[tuple[Rating, ...], PlatformError]:
    try:
        rows = json.loads(content)["ratings"]
        fields = [{**row, "work_class": row["class"]} for row in rows]
        return Ok(tuple(cattrs.structure(row, Rating) for row in fields))
    except (ValueError, KeyError, TypeError, cattrs.BaseValidationError) as error:
        message = f"malformed ratings: {error!r}"
        return Err(PlatformError(ErrorKind.UNAVAILABLE, message))
