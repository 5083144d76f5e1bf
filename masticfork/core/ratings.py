"""Ratings of answers, as the rating service returns them."""

import attrs

from masticfork.core.ids import RequestId, TeamName, VersionId
from masticfork.core.manifest import WorkClass


@attrs.frozen
class Rating:
    """A delayed and noisy rating of one answer."""

    # Sequence number in the rating service's list; readers request what follows it.
    seq: int
    request_id: RequestId
    version: VersionId
    work_class: WorkClass
    team: TeamName
    # From 0 to 1.
    score: float
