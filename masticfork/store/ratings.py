"""Client of the service that rates answers."""

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

CALL_SECONDS = 2.0
PAGE_RATINGS = 500
_ACCEPTED = 202
_OK = 200


class RatingClient:
    """Asks for ratings of answers and reads them when they come."""

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
        """Ask for the rating of an answer; a lost call is not repeated."""
        body = {
            "request_id": request_id,
            "version": version,
            "class": work_class.value,
            "team": team,
            "text": text,
        }
        answered = self._call("POST", "/ratings/requests", json.dumps(body))
        return answered.map(lambda _: None)

    def read(self, after: int) -> Result[tuple[Rating, ...], PlatformError]:
        """Return the ratings that follow a sequence number, oldest first."""
        path = f"/ratings?after={after}&limit={PAGE_RATINGS}"
        return self._call("GET", path, None).and_then(_parse)

    def _call(
        self, method: str, path: str, body: str | None
    ) -> Result[bytes, PlatformError]:
        connection = http.client.HTTPConnection(self._address, timeout=CALL_SECONDS)
        try:
            headers = {"Content-Type": "application/json"}
            connection.request(method, path, body, headers)
            answer = connection.getresponse()
            content = answer.read()
        except (OSError, http.client.HTTPException) as error:
            return Err(PlatformError(ErrorKind.UNAVAILABLE, repr(error)))
        finally:
            connection.close()
        if answer.status not in (_OK, _ACCEPTED):
            retry_at = Deadline.after(self._now(), CALL_SECONDS)
            message = f"the rating service answered {answer.status}"
            return Err(PlatformError(ErrorKind.UNAVAILABLE, message, retry_at))
        return Ok(content)


def _parse(content: bytes) -> Result[tuple[Rating, ...], PlatformError]:
    try:
        rows = json.loads(content)["ratings"]
        renamed = [{**row, "work_class": row["class"]} for row in rows]
        return Ok(tuple(cattrs.structure(row, Rating) for row in renamed))
    except (ValueError, KeyError, TypeError, cattrs.BaseValidationError) as error:
        message = f"the ratings are malformed: {error!r}"
        return Err(PlatformError(ErrorKind.UNAVAILABLE, message))
