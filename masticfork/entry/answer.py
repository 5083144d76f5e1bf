"""Run one model answer over one or more attempts.

The caller gets one continuous token stream, with no token missing or repeated. A
restarted generation continues the stream only if it begins with the tokens that were
already delivered; otherwise the answer fails.
"""

import hashlib
import json
from collections.abc import Callable
from concurrent.futures import Executor

import attrs
from result import Err

from masticfork.backends.engine import EngineCall, EngineClient, Usage
from masticfork.backends.engine_stream import (
    EngineStream,
    ServerSentEvent,
    event_data,
)
from masticfork.backends.failures import CallFailure, FailureKind, Stage
from masticfork.core.calls import ChatCall
from masticfork.core.deadlines import Deadline
from masticfork.core.events import AttemptFailed, Dispatched, EventLog
from masticfork.core.ids import AttemptId, ServerName
from masticfork.core.manifest import BackendServer
from masticfork.core.refusals import Reason, Refusal, RunState
from masticfork.entry.adoption import Adopter
from masticfork.entry.attempts import (
    AttemptUsage,
    FinalFrames,
    attempt_id,
    comparable_content,
    joined_message_text,
)
from masticfork.entry.routing import PRIORITIES, Router, VersionChoice
from masticfork.systems.prefixes import prompt_of
from masticfork.systems.retries import MAX_ATTEMPTS

MAX_RESUMES = 5
CANCEL_TIMEOUT_SECONDS = 2.0
DIGEST_BYTES = 16

# Failures that no further attempt can resolve.
_UNRETRYABLE_KINDS = frozenset({FailureKind.CALLER_GONE, FailureKind.DIFFERENT_ANSWER})

# Takes one frame; a returned failure ends the relay.
Sink = Callable[[bytes], CallFailure | None]


class AnswerRun:
    """One model answer, from its first dispatch to its last frame."""

    def __init__(
        self,
        call: ChatCall,
        choice: VersionChoice,
        router: Router,
        engines: EngineClient,
        adopter: Adopter,
        event_log: EventLog,
        background: Executor,
        now: Callable[[], float],
    ) -> None:
        self._call = call
        self._choice = choice
        self._router = router
        self._engines = engines
        self._adopter = adopter
        self._event_log = event_log
        self._background = background
        self._now = now
        self._budget = router.retry_budget(choice)
        self._prompt = prompt_of(choice.version, joined_message_text(call.body))
        self._stream: EngineStream | None = None
        self._server: BackendServer | None = None
        self._attempt = AttemptId("")
        self._attempts = 0
        self._resumes = 0
        self._tried: frozenset[ServerName] = frozenset()
        self._attempt_offset = 0
        self._hasher = hashlib.blake2b(digest_size=DIGEST_BYTES)
        # Tokens delivered to the caller by earlier attempts, and the digest of their
        # content, against which a restarted generation is checked.
        self._prior_tokens = 0
        self._prior_digest = b""
        self._finish_frame = b""
        self._usage_frame = b""
        self._usage = Usage()
        self._usage_by_attempt: dict[AttemptId, AttemptUsage] = {}

    @property
    def delivered_tokens(self) -> int:
        """Return the number of tokens delivered to the caller so far."""
        return max(self._attempt_offset, self._prior_tokens)

    @property
    def usages(self) -> tuple[AttemptUsage, ...]:
        """Return the usage of each attempt, in the order of dispatch."""
        return tuple(self._usage_by_attempt.values())

    @property
    def final_frames(self) -> FinalFrames:
        """Return the frames that end the answer; empty before they arrive."""
        return FinalFrames(self._finish_frame, self._usage_frame)

    @property
    def usage(self) -> Usage:
        """Return the engine's token counts, or the tokens delivered if it sent none."""
        if self._usage.completion_tokens:
            return self._usage
        return Usage(completion_tokens=self.delivered_tokens)

    def open(self) -> Refusal | None:
        """Adopt an orphaned attempt, or start one on an engine that accepts it."""
        if not self._attempts and self._adopt_orphan():
            return None
        while True:
            chosen = self._router.choose_engine(
                self._call.head.team, self._choice, self._tried, self._prompt
            )
            if isinstance(chosen, Err):
                return chosen.err_value
            failure = self._dispatch(chosen.ok_value)
            if failure is None:
                return None
            if not self._consume_retry():
                return self._give_up_refusal(failure)

    def _adopt_orphan(self) -> bool:
        """Resume from its first token a generation that a failed host left running."""
        attempt = attempt_id(self._call, self._choice, 1)
        servers = self._router.pool_engines(self._choice.version)
        server = self._adopter.find(self._call, servers, attempt)
        if server is None:
            return False
        checked = self._router.check_eligible(
            self._call.head.team, self._choice, server
        )
        if isinstance(checked, Err):
            return False
        self._router.retries.count_request(self._budget)
        self._attempts += 1
        self._tried |= {server.name}
        failure = self._start(server, attempt, 0)
        if failure is not None:
            self._record_failure(failure)
        return failure is None

    def run(self, sink: Sink) -> Refusal | None:
        """Pass each token's frame to the sink once; return None on a complete answer.

        The sink runs on the thread that reads all streams and must not block.
        """
        while True:
            failure = self._relay(sink)
            if self._server is not None:
                self._router.record_outcome(self._server, failure)
            if failure is None:
                self._release()
                return None
            self._record_failure(failure)
            if failure.kind in _UNRETRYABLE_KINDS:
                return Refusal(Reason.BACKEND_FAILED, failure.message, RunState.RAN)
            refusal = self._recover(failure)
            if refusal is not None:
                return refusal

    def close(self) -> None:
        """Cancel the generation if it is still running."""
        server = self._server
        self._release()
        if server is not None:
            self._cancel(server, self._attempt)

    def _cancel(self, server: BackendServer, attempt: AttemptId) -> None:
        # Runs in the background, since the engine may not respond.
        deadline = Deadline.after(self._now(), CANCEL_TIMEOUT_SECONDS)
        self._background.submit(self._engines.cancel, server, attempt, deadline)

    def _relay(self, sink: Sink) -> CallFailure | None:
        if self._stream is None:
            return CallFailure(
                Stage.CONNECTING,
                FailureKind.CONNECTION,
                "the attempt has no open stream",
            )
        failure = self._stream.forward_frames(
            lambda frame: self._handle_frame(frame, sink)
        )
        if failure is None and self._attempt_offset < self._prior_tokens:
            return _mismatch_failure()
        return failure

    def _handle_frame(self, frame: ServerSentEvent, sink: Sink) -> CallFailure | None:
        """Forward the next frame in sequence; runs on the stream reader's thread.

        Frames that repeat tokens of this attempt are skipped. Tokens that the caller
        got from an earlier attempt are only hashed and compared.
        """
        if not frame.offset:
            return self._record_final_frame(frame)
        if frame.offset <= self._attempt_offset:
            return None
        if frame.offset != self._attempt_offset + 1:
            message = f"tokens missing before token {frame.offset}"
            return CallFailure(Stage.ANSWERING, FailureKind.MALFORMED_ANSWER, message)
        self._attempt_offset = frame.offset
        self._hasher.update(comparable_content(frame))
        if self._attempt_offset > self._prior_tokens:
            return sink(frame.raw)
        if (
            self._attempt_offset == self._prior_tokens
            and self._hasher.digest() != self._prior_digest
        ):
            return _mismatch_failure()
        return None

    def _recover(self, failure: CallFailure) -> Refusal | None:
        """Resume on the same engine, or else restart on another one."""
        server = self._server
        self._release()
        if server is not None and not self._expired():
            resumed = self._resume(server) if self._may_resume(failure) else failure
            if resumed is None:
                return None
            failure = resumed
            self._cancel(server, self._attempt)
        if not self._consume_retry():
            return self._give_up_refusal(failure)
        return self._restart()

    def _may_resume(self, failure: CallFailure) -> bool:
        """Return whether to resume on the same engine."""
        if self._resumes >= MAX_RESUMES:
            return False
        if failure.kind is not FailureKind.TIMEOUT:
            return True
        # An engine that timed out may time out again, so resume on it only if no other
        # engine or no further attempt is left.
        other = self._router.choose_engine(
            self._call.head.team, self._choice, self._tried
        )
        return isinstance(other, Err) or self._attempts >= MAX_ATTEMPTS

    def _resume(self, server: BackendServer) -> CallFailure | None:
        self._resumes += 1
        checked = self._router.check_eligible(
            self._call.head.team, self._choice, server
        )
        if isinstance(checked, Err):
            message = checked.err_value.message
            return CallFailure(Stage.CONNECTING, FailureKind.REFUSED, message)
        return self._start(server, self._attempt, self._attempt_offset)

    def _restart(self) -> Refusal | None:
        """Restart on another engine; delivered tokens are compared, not sent again."""
        if self._attempt_offset > self._prior_tokens:
            self._prior_tokens, self._prior_digest = (
                self._attempt_offset,
                self._hasher.digest(),
            )
        self._attempt_offset = 0
        self._hasher = hashlib.blake2b(digest_size=DIGEST_BYTES)
        refusal = self.open()
        if refusal is not None and self._prior_tokens:
            return attrs.evolve(refusal, run_state=RunState.RAN)
        return refusal

    def _dispatch(self, server: BackendServer) -> CallFailure | None:
        if not self._attempts:
            self._router.retries.count_request(self._budget)
        self._attempts += 1
        self._tried |= {server.name}
        attempt = attempt_id(self._call, self._choice, self._attempts)
        failure = self._start(server, attempt, None)
        if failure is not None:
            self._record_failure(failure)
        return failure

    def _start(
        self, server: BackendServer, attempt: AttemptId, resume_after: int | None
    ) -> CallFailure | None:
        head = self._call.head
        self._attempt = attempt
        call = EngineCall(
            attempt_id=attempt,
            version=self._choice.version,
            body=self._call.body,
            priority=PRIORITIES[self._call.work_class],
            traceparent=head.traceparent,
            resume_after=resume_after,
        )
        event = Dispatched(self._now(), attempt, server.name, resume_after)
        self._event_log.add(head.request_id, event)
        self._router.in_flight.enter(server.name)
        started = self._engines.start(server, call, head.deadline)
        if isinstance(started, Err):
            self._router.in_flight.leave(server.name)
            self._router.record_outcome(server, started.err_value)
            return started.err_value
        self._stream, self._server = started.ok_value, server
        return None

    def _record_final_frame(self, frame: ServerSentEvent) -> CallFailure | None:
        try:
            value = json.loads(event_data(frame.raw))
            usage = value.get("usage")
            if usage is None:
                self._finish_frame = frame.raw
                return None
            details = usage.get("prompt_tokens_details") or {}
            self._usage = Usage(
                int(usage["prompt_tokens"]),
                int(usage["completion_tokens"]),
                int(details.get("cached_tokens", 0)),
            )
        except (ValueError, LookupError, TypeError, AttributeError):
            kind = FailureKind.MALFORMED_ANSWER
            return CallFailure(Stage.ANSWERING, kind, "the final frames are malformed")
        self._usage_frame = frame.raw
        return None

    def _record_failure(self, failure: CallFailure) -> None:
        event = AttemptFailed(
            self._now(), self._attempt, failure.stage.value, failure.kind.value
        )
        self._event_log.add(self._call.head.request_id, event)

    def _release(self) -> None:
        if self._stream is not None and self._server is not None:
            self._stream.close()
            self._router.in_flight.leave(self._server.name)
            attempt_usage = AttemptUsage(self._attempt, self._server.name, self.usage)
            self._usage_by_attempt[self._attempt] = attempt_usage
        self._stream = None
        self._server = None

    def _consume_retry(self) -> bool:
        """Return whether another attempt may follow; count it against the budget.

        Generations are safe to repeat.
        """
        deadline = self._call.head.deadline
        return self._router.retries.try_retry(
            self._budget, self._attempts, deadline, self._now()
        )

    def _expired(self) -> bool:
        return self._call.head.deadline.expired(self._now())

    def _give_up_refusal(self, failure: CallFailure) -> Refusal:
        # Once tokens were delivered, the request is known to have run.
        state = RunState.RAN if self.delivered_tokens else failure.run_state
        if self._expired():
            return Refusal(Reason.DEADLINE_EXPIRED, "the deadline has passed", state)
        message = (
            f"no engine completed the answer: "
            f"{failure.kind.value} while {failure.stage.value}"
        )
        return Refusal(Reason.BACKEND_FAILED, message, state)


def _mismatch_failure() -> CallFailure:
    message = "a restarted answer differs from the text already sent"
    return CallFailure(Stage.ANSWERING, FailureKind.DIFFERENT_ANSWER, message)
