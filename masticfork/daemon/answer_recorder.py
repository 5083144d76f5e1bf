"""Record finished answers: metrics, rollout counts and rating requests."""

from concurrent.futures import Executor

import logbook
from result import Err

from masticfork.core.calls import ChatCall
from masticfork.core.ids import RequestId, VersionId, digest
from masticfork.core.quality import QualityKey
from masticfork.core.tables import Tables
from masticfork.daemon.metrics import Metrics
from masticfork.daemon.quality import CompletedAnswer, QualityRecorder
from masticfork.entry.frames import frames_text
from masticfork.entry.reports import ANSWERED, INTERRUPTED, AnswerReport
from masticfork.entry.routing import VersionChoice
from masticfork.store.ratings import RatingClient
from masticfork.systems.rollout_usage import AnswerOutcome, RolloutUsage

# Fraction of answers rated when their version is not part of a rollout.
RATED_FRACTION = 0.2
_DIGEST_RANGE = 16**32

_log = logbook.Logger("answers")


class AnswerRecorder:
    """Records answers; called from the threads that serve them."""

    def __init__(
        self,
        tables: Tables,
        metrics: Metrics,
        usage: RolloutUsage,
        quality: QualityRecorder,
        ratings: RatingClient | None,
        background: Executor,
    ) -> None:
        self._tables = tables
        self._metrics = metrics
        self._usage = usage
        self._quality = quality
        self._ratings = ratings
        self._background = background

    def needs_text(self, call: ChatCall, choice: VersionChoice) -> bool:
        """Return whether the answer text is needed for a rating request."""
        if self._ratings is None:
            return False
        if self._in_rollout(choice.version):
            return True
        return is_sampled(call.head.request_id)

    def record_answer(self, report: AnswerReport) -> None:
        """Record a finished answer and request its rating if its text was kept."""
        first_token_seconds = report.first_token_seconds
        failed = report.outcome == INTERRUPTED
        self._usage.count_answer(
            AnswerOutcome(report.choice.version, failed, first_token_seconds)
        )
        self._record_metrics(report)
        if report.outcome != ANSWERED:
            return
        self._quality.record_answer(_completed_answer(report))
        if report.frames:
            self._background.submit(self._request_rating, report)

    def _in_rollout(self, version: VersionId) -> bool:
        configuration = self._tables.configuration
        if configuration is None:
            return False
        return any(
            version in (rollout.from_version, rollout.to_version)
            for rollout in configuration.manifest.rollouts
        )

    def _record_metrics(self, report: AnswerReport) -> None:
        metrics, call = self._metrics, report.call
        labels = (call.head.team.name, call.work_class.value)
        total = report.ended_at - call.head.received_at
        metrics.total.labels(*labels).observe(total)
        metrics.cost.labels(*labels).observe(report.cost)
        metrics.answers.labels(report.choice.version, report.outcome).inc()
        if report.first_token_at is None or report.first_token_seconds is None:
            return
        metrics.first_token.labels(*labels).observe(report.first_token_seconds)
        if report.tokens > 1:
            gap = (report.ended_at - report.first_token_at) / (report.tokens - 1)
            metrics.token_gap.labels(*labels).observe(gap)

    def _request_rating(self, report: AnswerReport) -> None:
        text = frames_text(report.frames)
        if self._ratings is None or isinstance(text, Err):
            return
        head = report.call.head
        requested = self._ratings.request(
            head.request_id,
            report.choice.version,
            report.call.work_class,
            head.team.name,
            text.ok_value,
        )
        if isinstance(requested, Err):
            # A missing rating only delays rollout decisions that wait for evidence.
            _log.debug("rating request failed", error=requested.err_value.message)


def _completed_answer(report: AnswerReport) -> CompletedAnswer:
    head = report.call.head
    return CompletedAnswer(
        QualityKey(head.team.name, report.call.work_class),
        report.choice.version,
        report.ended_at - head.received_at,
        report.ended_at,
        bool(report.frames),
    )


def is_sampled(request_id: RequestId) -> bool:
    """Return whether a request is in the sample of rated requests."""
    return int(digest("rating", request_id), 16) / _DIGEST_RANGE < RATED_FRACTION
