"""Run one model answer over attempts, without a gap, a repeat or a splice."""

import hashlib
import json
from collections.abc import Callable
from concurrent.futures import Executor

import attrs
from result import Err

from masticfork.backends.engine import EngineCall, EngineClient, Usage
from masticfork.backends.engine_stream import EngineStream, Frame
from masticfork.backends.failures import CallFailure, FailureKind, Stage
from masticfork.core.calls import ChatCall
from masticfork.core.deadlines import Deadline
from masticfork.core.events import AttemptFailed, Dispatched, Journal
from masticfork.core.ids import AttemptId, ServerName
from masticfork.core.manifest import BackendServer
from masticfork.core.refusals import Reason, Refusal, RunState
from masticfork.entry.adoption import Adopter
from masticfork.entry.attempts import (
    AnswerEnd,
    AttemptUse,
    attempt_id,
    content_of,
    text_of_messages,
)
from masticfork.entry.frames import data_of
from masticfork.entry.routing import PRIORITIES, Placement, Router
from masticfork.systems.prefixes import prompt_of
from masticfork.systems.retries import MAX_ATTEMPTS

MAX_RESUMES = 5
CANCEL_SECONDS = 2.0
CONTENT_DIGEST_BYTES = 16

# No other attempt can mend these.
_FINAL_KINDS = frozenset({FailureKind.CALLER_GONE, FailureKind.DIFFERENT_ANSWER})

# Takes one frame; a failure tells that nobody wants more.
Sink = Callable[[bytes], CallFailure | None]


class AnswerRun:
    """One answer from its first dispatch to its end."""

    def __init__(
        self,
        call: ChatCall,
        placement: Placement,
        router: Router,
        engines: EngineClient,
        adopter: Adopter,
        journal: Journal,
        background: Executor,
        now: Callable[[], float],
    ) -> None:
        self._call = call
        self._placement = placement
        self._router = router
        self._engines = engines
        self._adopter = adopter
        self._journal = journal
        self._background = background
        self._now = now
        self._budget = router.budget_of(placement)
        self._prompt = prompt_of(placement.version, text_of_messages(call.body))
        self._stream: EngineStream | None = None
        self._server: BackendServer | None = None
        self._attempt = AttemptId("")
        self._attempts = 0
        self._resumes = 0
        self._tried: frozenset[ServerName] = frozenset()
        self._offset = 0
        self._content = hashlib.blake2b(digest_size=CONTENT_DIGEST_BYTES)
        # Tokens that the caller got from an earlier attempt, and their digest.
        self._seen = 0
        self._seen_content = b""
        self._finish = b""
        self._usage_frame = b""
        self._usage = Usage()
        self._used: dict[AttemptId, AttemptUse] = {}

    @property
    def offset(self) -> int:
        """Return the tokens handed out so far."""
        return max(self._offset, self._seen)

    @property
    def used(self) -> tuple[AttemptUse, ...]:
        """Return the attempts in the order of their dispatch."""
        return tuple(self._used.values())

    @property
    def end(self) -> AnswerEnd:
        """Return the frames that end the answer."""
        return AnswerEnd(self._finish, self._usage_frame)

    @property
    def usage(self) -> Usage:
        """Return what the engine counted, or the tokens handed out so far."""
        if self._usage.completion_tokens:
            return self._usage
        return Usage(completion_tokens=self.offset)

    def open(self) -> Refusal | None:
        """Start the first attempt that an engine accepts, or go on with a lost one."""
        if not self._attempts and self._adopt():
            return None
        while True:
            chosen = self._router.choose_engine(
                self._call.head.team, self._placement, self._tried, self._prompt
            )
            if isinstance(chosen, Err):
                return chosen.err_value
            failure = self._dispatch(chosen.ok_value)
            if failure is None:
                return None
            if not self._again():
                return self._given_up(failure)

    def _adopt(self) -> bool:
        """Resume, from its first token, what a lost host left running."""
        attempt = attempt_id(self._call, self._placement, 1)
        servers = self._router.engines_of(self._placement.version)
        server = self._adopter.find(self._call, servers, attempt)
        if server is None:
            return False
        checked = self._router.check(self._call.head.team, self._placement, server)
        if isinstance(checked, Err):
            return False
        self._router.retries.first(self._budget)
        self._attempts += 1
        self._tried |= {server.name}
        failure = self._start(server, attempt, 0)
        if failure is not None:
            self._note_failure(failure)
        return failure is None

    def run(self, sink: Sink) -> Refusal | None:
        """Hand each token's frame to the sink once; None where the answer is whole.

        The sink is called on the thread that reads all streams and must not wait.
        """
        while True:
            failure = self._relay(sink)
            if self._server is not None:
                self._router.ended(self._server, failure)
            if failure is None:
                self._release()
                return None
            self._note_failure(failure)
            if failure.kind in _FINAL_KINDS:
                return Refusal(Reason.BACKEND_FAILED, failure.message, RunState.RAN)
            refusal = self._recover(failure)
            if refusal is not None:
                return refusal

    def close(self) -> None:
        """Cancel the generation where it has not ended."""
        server = self._server
        self._release()
        if server is not None:
            self._cancel(server, self._attempt)

    def _cancel(self, server: BackendServer, attempt: AttemptId) -> None:
        # The caller does not wait for it: the engine may be frozen.
        deadline = Deadline.after(self._now(), CANCEL_SECONDS)
        self._background.submit(self._engines.cancel, server, attempt, deadline)

    def _relay(self, sink: Sink) -> CallFailure | None:
        if self._stream is None:
            return CallFailure(Stage.CONNECTING, FailureKind.CONNECTION, "no stream")
        failure = self._stream.relay(lambda frame: self._take(frame, sink))
        if failure is None and self._offset < self._seen:
            return _different()
        return failure

    def _take(self, frame: Frame, sink: Sink) -> CallFailure | None:
        """Pass on a frame that follows the last one; runs on the pump's thread."""
        if not frame.offset:
            return self._note_end(frame)
        if frame.offset <= self._offset:
            return None
        if frame.offset != self._offset + 1:
            message = f"gap before token {frame.offset}"
            return CallFailure(Stage.ANSWERING, FailureKind.MALFORMED_ANSWER, message)
        self._offset = frame.offset
        self._content.update(content_of(frame))
        if self._offset > self._seen:
            return sink(frame.raw)
        if self._offset == self._seen and self._content.digest() != self._seen_content:
            return _different()
        return None

    def _recover(self, failure: CallFailure) -> Refusal | None:
        """Resume on the same engine, or run again where that is impossible."""
        server = self._server
        self._release()
        if server is not None and not self._expired():
            resumed = self._resume(server) if self._may_resume(failure) else failure
            if resumed is None:
                return None
            failure = resumed
            self._cancel(server, self._attempt)
        if not self._again():
            return self._given_up(failure)
        return self._run_again()

    def _may_resume(self, failure: CallFailure) -> bool:
        """Tell whether to ask the same engine for the rest."""
        if self._resumes >= MAX_RESUMES:
            return False
        if failure.kind is not FailureKind.TIMEOUT:
            return True
        # A silent engine would be waited for once more: only the last one is.
        other = self._router.choose_engine(
            self._call.head.team, self._placement, self._tried
        )
        return isinstance(other, Err) or self._attempts >= MAX_ATTEMPTS

    def _resume(self, server: BackendServer) -> CallFailure | None:
        self._resumes += 1
        checked = self._router.check(self._call.head.team, self._placement, server)
        if isinstance(checked, Err):
            message = checked.err_value.message
            return CallFailure(Stage.CONNECTING, FailureKind.REFUSED, message)
        return self._start(server, self._attempt, self._offset)

    def _run_again(self) -> Refusal | None:
        """Start over on another engine; what the caller has seen is only compared."""
        if self._offset > self._seen:
            self._seen, self._seen_content = self._offset, self._content.digest()
        self._offset = 0
        self._content = hashlib.blake2b(digest_size=CONTENT_DIGEST_BYTES)
        refusal = self.open()
        if refusal is not None and self._seen:
            return attrs.evolve(refusal, run_state=RunState.RAN)
        return refusal

    def _dispatch(self, server: BackendServer) -> CallFailure | None:
        if not self._attempts:
            self._router.retries.first(self._budget)
        self._attempts += 1
        self._tried |= {server.name}
        attempt = attempt_id(self._call, self._placement, self._attempts)
        failure = self._start(server, attempt, None)
        if failure is not None:
            self._note_failure(failure)
        return failure

    def _start(
        self, server: BackendServer, attempt: AttemptId, resume_after: int | None
    ) -> CallFailure | None:
        head = self._call.head
        self._attempt = attempt
        call = EngineCall(
            attempt_id=attempt,
            version=self._placement.version,
            body=self._call.body,
            priority=PRIORITIES[self._call.work_class],
            traceparent=head.traceparent,
            resume_after=resume_after,
        )
        event = Dispatched(self._now(), attempt, server.name, resume_after)
        self._journal.add(head.request_id, event)
        self._router.in_flight.enter(server.name)
        started = self._engines.start(server, call, head.deadline)
        if isinstance(started, Err):
            self._router.in_flight.leave(server.name)
            self._router.ended(server, started.err_value)
            return started.err_value
        self._stream, self._server = started.ok_value, server
        return None

    def _note_end(self, frame: Frame) -> CallFailure | None:
        try:
            value = json.loads(data_of(frame.raw))
            usage = value.get("usage")
            if usage is None:
                self._finish = frame.raw
                return None
            details = usage.get("prompt_tokens_details") or {}
            self._usage = Usage(
                int(usage["prompt_tokens"]),
                int(usage["completion_tokens"]),
                int(details.get("cached_tokens", 0)),
            )
        except (ValueError, LookupError, TypeError, AttributeError):
            kind = FailureKind.MALFORMED_ANSWER
            return CallFailure(Stage.ANSWERING, kind, "last frames")
        self._usage_frame = frame.raw
        return None

    def _note_failure(self, failure: CallFailure) -> None:
        event = AttemptFailed(
            self._now(), self._attempt, failure.stage.value, failure.kind.value
        )
        self._journal.add(self._call.head.request_id, event)

    def _release(self) -> None:
        if self._stream is not None and self._server is not None:
            self._stream.close()
            self._router.in_flight.leave(self._server.name)
            use = AttemptUse(self._attempt, self._server.name, self.usage)
            self._used[self._attempt] = use
        self._stream = None
        self._server = None

    def _again(self) -> bool:
        """Tell whether another attempt may follow; a generation may be repeated."""
        deadline = self._call.head.deadline
        return self._router.retries.again(
            self._budget, self._attempts, deadline, self._now()
        )

    def _expired(self) -> bool:
        return self._call.head.deadline.expired(self._now())

    def _given_up(self, failure: CallFailure) -> Refusal:
        # The caller has part of an answer, so something surely ran.
        state = RunState.RAN if self.offset else failure.run_state
        if self._expired():
            return Refusal(Reason.DEADLINE_EXPIRED, "the deadline has passed", state)
        message = (
            f"no engine answered: {failure.kind.value} while {failure.stage.value}"
        )
        return Refusal(Reason.BACKEND_FAILED, message, state)


def _different() -> CallFailure:
    message = "the answer could not be continued as it began"
    return CallFailure(Stage.ANSWERING, FailureKind.DIFFERENT_ANSWER, message)
