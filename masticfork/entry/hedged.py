"""Hedge repeatable calls: send a second attempt if the first server is slow."""

import threading
from concurrent.futures import FIRST_COMPLETED, Future, ThreadPoolExecutor, wait

from result import Err, Ok, Result

from masticfork.backends.failures import CallFailure
from masticfork.backends.service import ServiceResponse
from masticfork.core.calls import ServiceCall
from masticfork.core.ids import AttemptId, ServerName, random_id
from masticfork.core.manifest import BackendServer, WorkClass
from masticfork.entry.services import ServiceDependencies, dispatch, take_attempt
from masticfork.systems.hedging import HedgePolicy

HEDGE_THREADS = 64

ServiceResult = Result[ServiceResponse, CallFailure]


class HedgedDispatch:
    """Sends attempts at calls; hedges lookups within the hedge and retry budgets."""

    def __init__(self, parts: ServiceDependencies, hedges: HedgePolicy) -> None:
        self._parts = parts
        self._hedges = hedges
        self._executor = ThreadPoolExecutor(HEDGE_THREADS, "hedge")
        # Calls never queue for a thread; with none free they are sent unhedged.
        self._free_threads = threading.Semaphore(HEDGE_THREADS)

    def send(
        self, call: ServiceCall, server: BackendServer, tried: frozenset[ServerName]
    ) -> ServiceResult:
        """Return the first answer, or the last failure if no server answered.

        The call must be safe to repeat.
        """
        if call.operation.work_class is not WorkClass.LOOKUP:
            return self._dispatch(call, server)
        kind = f"{call.service.name} {call.operation.method} {call.operation.path}"
        started_at = self._parts.now()
        delay = self._hedges.delay_seconds(kind)
        first = None if delay is None else self._submit(call, server)
        if first is None or delay is None:
            result = self._dispatch(call, server)
        else:
            result = self._race(call, first, kind, delay, tried | {server.name})
        if isinstance(result, Ok):
            self._hedges.observe(kind, self._parts.now() - started_at)
        return result

    def _race(
        self,
        call: ServiceCall,
        first: Future[ServiceResult],
        kind: str,
        delay_seconds: float,
        tried: frozenset[ServerName],
    ) -> ServiceResult:
        done, _ = wait([first], delay_seconds)
        second = None if done else self._hedge(call, kind, tried)
        if second is None:
            return first.result()
        pending = {first, second}
        while True:
            done, pending = wait(pending, return_when=FIRST_COMPLETED)
            outcome = done.pop().result()
            # If both ended together and the failed one came first, `done` still
            # holds the other.
            if isinstance(outcome, Ok) or not (done or pending):
                return outcome
            pending |= done

    def _hedge(
        self, call: ServiceCall, kind: str, tried: frozenset[ServerName]
    ) -> Future[ServiceResult] | None:
        chosen = self._parts.router.choose_server(call.service.servers, tried)
        if isinstance(chosen, Err) or not self._hedges.try_take(kind):
            return None
        # A hedge is an additional attempt, so it counts against the retry budget too.
        if not take_attempt(self._parts, call, 1):
            return None
        return self._submit(call, chosen.ok_value)

    def _submit(
        self, call: ServiceCall, server: BackendServer
    ) -> Future[ServiceResult] | None:
        if not self._free_threads.acquire(blocking=False):
            return None
        future = self._executor.submit(self._dispatch, call, server)
        future.add_done_callback(lambda _: self._free_threads.release())
        return future

    def _dispatch(self, call: ServiceCall, server: BackendServer) -> ServiceResult:
        return dispatch(self._parts, call, server, AttemptId(random_id("try")))
