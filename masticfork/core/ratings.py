"""Ratings of answers, as the rating service gives them."""

import attrs

from masticfork.core.ids import RequestId, TeamName, VersionId
from masticfork.core.manifest import WorkClass


@attrs.frozen
class Rating:
    """The late and noisy judgement of one answer."""

    # Place in the rating service's list; a reader asks for what comes after it.
    seq: int
    request_id: RequestId
    version: VersionId
    work_class: WorkClass
    team: TeamName
    # From 0 to 1.
    score: float
