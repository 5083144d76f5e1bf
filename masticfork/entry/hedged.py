"""Send repeatable calls to a second server where the first one is slow."""

import threading
from concurrent.futures import FIRST_COMPLETED, Future, ThreadPoolExecutor, wait

from result import Err, Ok, Result

from masticfork.backends.failures import CallFailure
from masticfork.backends.service import ServiceAnswer
from masticfork.core.calls import ServiceCall
from masticfork.core.ids import AttemptId, ServerName, random_id
from masticfork.core.manifest import BackendServer, WorkClass
from masticfork.entry.services import ServiceParts, dispatch, may_try
from masticfork.systems.hedging import HedgePolicy

HEDGE_THREADS = 64

Outcome = Result[ServiceAnswer, CallFailure]


class HedgedDispatch:
    """Runs single attempts at lookups, hedged within the budgets."""

    def __init__(self, parts: ServiceParts, hedges: HedgePolicy) -> None:
        self._parts = parts
        self._hedges = hedges
        self._threads = ThreadPoolExecutor(HEDGE_THREADS, "hedge")
        # Calls never queue for a thread; without one they go out unhedged.
        self._free = threading.Semaphore(HEDGE_THREADS)

    def send(
        self, call: ServiceCall, server: BackendServer, tried: frozenset[ServerName]
    ) -> Outcome:
        """Return the first answer, or the last failure where none answered.

        The call must be one that may be repeated.
        """
        if call.operation.work_class is not WorkClass.LOOKUP:
            return self._dispatch(call, server)
        kind = f"{call.service.name} {call.operation.method} {call.operation.path}"
        began = self._parts.now()
        delay = self._hedges.delay_seconds(kind)
        first = None if delay is None else self._submit(call, server)
        if first is None or delay is None:
            answered = self._dispatch(call, server)
        else:
            answered = self._race(call, first, kind, delay, tried | {server.name})
        if isinstance(answered, Ok):
            self._hedges.observe(kind, self._parts.now() - began)
        return answered

    def _race(
        self,
        call: ServiceCall,
        first: Future[Outcome],
        kind: str,
        delay_seconds: float,
        tried: frozenset[ServerName],
    ) -> Outcome:
        done, _ = wait([first], delay_seconds)
        second = None if done else self._hedge(call, kind, tried)
        if second is None:
            return first.result()
        pending = {first, second}
        while True:
            done, pending = wait(pending, return_when=FIRST_COMPLETED)
            outcome = done.pop().result()
            # Both may have ended together, the failed one taken first.
            if isinstance(outcome, Ok) or not (done or pending):
                return outcome
            pending |= done

    def _hedge(
        self, call: ServiceCall, kind: str, tried: frozenset[ServerName]
    ) -> Future[Outcome] | None:
        chosen = self._parts.router.choose(call.service.servers, tried)
        if isinstance(chosen, Err) or not self._hedges.take(kind):
            return None
        # A hedge is one more attempt, so the retries' budget pays for it too.
        if not may_try(self._parts, call, 1):
            return None
        return self._submit(call, chosen.ok_value)

    def _submit(
        self, call: ServiceCall, server: BackendServer
    ) -> Future[Outcome] | None:
        if not self._free.acquire(blocking=False):
            return None
        future = self._threads.submit(self._dispatch, call, server)
        future.add_done_callback(lambda _: self._free.release())
        return future

    def _dispatch(self, call: ServiceCall, server: BackendServer) -> Outcome:
        return dispatch(self._parts, call, server, AttemptId(random_id("try")))
