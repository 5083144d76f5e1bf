"""Two of three hosts are stopped; orders that they accept late are cut off."""

import random
import signal
import sys
import threading
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from harness import (  # noqa: E402
    GRACE_SECONDS,
    Attempt,
    Host,
    Ingress,
    Request,
    Site,
    config,
    route,
    run_case,
    send_attempt,
    with_trouble,
)

SERVICE = "huvo11a"
# Time that a worker takes for an order, and the time limit of the route.
WORK_SECONDS, TIMEOUT_MS = 0.9, 4000
ORDERS_PER_SECOND = 30
STOP_AT, DURATION = 4.0, 14.0
# Beside a stop, a cut request isn't counted if it was sent no later than this after the
# SIGTERM and its worker was still at work in the last sixth of the grace period.
EXCUSED_SECONDS = 3.0


def handle(request: Request) -> tuple[int, bytes, float]:
    """Run an order."""
    return 200, b"order " + request.attempt_id.encode(), WORK_SECONDS


def kill_after_grace(host: Host) -> None:
    """Kill a host that still runs after the grace period, as the platform does."""
    time.sleep(GRACE_SECONDS)
    host.signal(signal.SIGKILL)


def case(site: Site) -> list[str]:
    """Send orders at a steady rate while two hosts get SIGTERM at once."""
    orders = route("puxa403", "unsafe", SERVICE, timeout_ms=TIMEOUT_MS)
    site.put_config(config(7, orders))
    for _ in range(4):
        site.add_worker(SERVICE, handle)
    for _ in range(3):
        site.add_host()
    site.start_hosts()
    time.sleep(3.5)
    ingress = Ingress(site)
    rng = random.Random(1)
    attempts: list[Attempt] = []
    threads: list[threading.Thread] = []
    stopped_at: dict[str, float] = {}

    def order(number: int, host: Host) -> None:
        attempts.append(
            send_attempt(
                site.record,
                host,
                site.front_port,
                "/puxa403/2f",
                attempt_id=f"{number:016x}",
                deadline_ms=TIMEOUT_MS,
            )
        )

    began = time.monotonic()
    for number in range(int(DURATION * ORDERS_PER_SECOND)):
        time.sleep(max(0.0, began + number / ORDERS_PER_SECOND - time.monotonic()))
        if time.monotonic() - began >= STOP_AT and not stopped_at and with_trouble():
            for host in site.hosts[:2]:
                stopped_at[host.name] = site.record.now
                host.signal(signal.SIGTERM)
                threading.Thread(
                    target=kill_after_grace, args=(host,), daemon=True
                ).start()
        threads.append(
            threading.Thread(target=order, args=(number, ingress.choose(rng)))
        )
        threads[-1].start()
    for thread in threads:
        thread.join()
    ingress.close()
    return [
        line
        for attempt in attempts
        if (line := judge(site, attempt, stopped_at.get(attempt.host.name)))
    ]


def judge(site: Site, attempt: Attempt, stopped_at: float | None) -> str | None:
    """Return how an attempt breaks the rule, None if it doesn't."""
    if attempt.complete or attempt.gave_up or attempt.sent_at is None:
        return None
    runs = site.runs(attempt.attempt_id)
    if not runs:
        return None
    if stopped_at is not None:
        since_stop = attempt.sent_at - stopped_at
        if since_stop <= EXCUSED_SECONDS or since_stop > GRACE_SECONDS + 1.0:
            return None
    else:
        since_stop = float("nan")
    done = site.run_end(attempt.attempt_id)
    return (
        f"order {attempt.attempt_id} was sent to {attempt.host.name} at"
        f" {attempt.sent_at:.3f} s ({since_stop:.3f} s after SIGTERM), began to run at"
        f" {runs[0]:.3f} s, had run at {done} s; its channel ended at"
        f" {attempt.ended_at:.3f} s without an answer ({attempt.error})"
    )


if __name__ == "__main__":
    run_case(FOLDER, case)
