"""The hosts that read the store lose power; the others keep an old config."""

import random
import signal
import sys
import threading
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from harness import (  # noqa: E402
    CONFIG_APPLY_SECONDS,
    KEY,
    TENANT,
    Attempt,
    CannotRunError,
    Host,
    Request,
    Site,
    config,
    route,
    run_case,
    send_attempt,
    with_trouble,
)

SERVICE = "huvo11a"
SECOND_KEY = "anfqasnmgkcuyj8pjbvk"
ROUNDS = 3
# Time for which the hosts are without power.
DARK_SECONDS = 2.0
# Time from the loss of power to the operator's change.
CHANGE_AFTER_SECONDS = 0.05
# Time from the change for which requests are sent, and the pause between them.
SENDING_SECONDS, PAUSE_SECONDS = 4.0, 0.05
ROUND_PAUSE_SECONDS = 9.0
# Pause between two orders of the usual traffic to one host.
TRAFFIC_PAUSE_SECONDS = 0.04


def handle(request: Request) -> tuple[int, bytes, float]:
    """Run an order."""
    return 200, b"order " + request.attempt_id.encode(), 0.02


def readers(site: Site) -> list[Host]:
    """Return the hosts that read the store, by their logs."""
    found = []
    for host in site.hosts:
        messages = [line.get("message", "") for line in host.log]
        told = [text for text in messages if text.endswith("reading the store")]
        if not told or told[-1] == "reading the store":
            found.append(host)
    return found


def case(site: Site) -> list[str]:
    """Take the readers' power while a key is taken away, some times."""
    broken: list[str] = []
    for _ in range(3):
        site.add_worker(SERVICE, handle)
    for _ in range(4):
        site.add_host()
    site.put_config(orders(7, [KEY, SECOND_KEY]))
    site.start_hosts()
    stopped = threading.Event()
    traffic = [
        threading.Thread(target=send_traffic, args=(site, host, stopped))
        for host in site.hosts
    ]
    for thread in traffic:
        thread.start()
    rng = random.Random(3)
    try:
        for number in range(ROUNDS):
            time.sleep(ROUND_PAUSE_SECONDS + rng.uniform(0.0, 0.5))
            reading = readers(site)
            if not 0 < len(reading) < len(site.hosts):
                raise CannotRunError("the hosts did not choose readers")
            broken += take_power(site, reading, number)
    finally:
        stopped.set()
        for thread in traffic:
            thread.join()
    return broken


def send_traffic(site: Site, host: Host, stopped: threading.Event) -> None:
    """Send orders with the tenant's other key while the host is in rotation."""
    number = 0
    while not stopped.wait(TRAFFIC_PAUSE_SECONDS):
        if host.alive:
            number += 1
            attempt_id = f"f{host.name[-1]}{number:014x}"
            send_attempt(
                site.record,
                host,
                site.front_port,
                "/puxa403/2f",
                attempt_id=attempt_id,
                key=SECOND_KEY,
            )


def orders(version: int, keys: list[str]) -> dict[str, object]:
    """Return a config with one route for orders and these keys of one tenant."""
    tenant = {"name": TENANT, "api_keys": keys, "priority": 1}
    return config(version, route("puxa403", "unsafe", SERVICE), tenants=[tenant])


def take_power(site: Site, reading: list[Host], number: int) -> list[str]:
    """Let the readers lose power, take a key away and use it at the other hosts."""
    others = [host for host in site.hosts if host not in reading]
    if with_trouble():
        for host in reading:
            host.signal(signal.SIGKILL)

        def restore_power() -> None:
            time.sleep(DARK_SECONDS)
            for host in reading:
                host.end()
                host.start()

        threading.Thread(target=restore_power).start()
    time.sleep(CHANGE_AFTER_SECONDS)
    acked_at = site.put_config(orders(20 + 20 * number, [SECOND_KEY]))
    attempts: list[Attempt] = []

    def use_key(host: Host) -> None:
        sent = 0
        while site.record.now < acked_at + SENDING_SECONDS:
            attempt_id = f"{number:04x}{int(host.name[-1]):04x}{sent:08x}"
            attempts.append(
                send_attempt(
                    site.record,
                    host,
                    site.front_port,
                    "/puxa403/2f",
                    attempt_id=attempt_id,
                )
            )
            sent += 1
            time.sleep(PAUSE_SECONDS)

    threads = [threading.Thread(target=use_key, args=(host,)) for host in others]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    # The key is given back for the next round.
    site.put_config(orders(30 + 20 * number, [KEY, SECOND_KEY]))
    return [line for attempt in attempts if (line := judge(site, attempt, acked_at))]


def judge(site: Site, attempt: Attempt, acked_at: float) -> str | None:
    """Return how an attempt breaks the rule, None if it doesn't."""
    runs = site.runs(attempt.attempt_id)
    if attempt.sent_at is None or not runs:
        return None
    late = attempt.sent_at - acked_at
    if late <= CONFIG_APPLY_SECONDS:
        return None
    return (
        f"request {attempt.attempt_id} with a key that was taken away was sent to"
        f" {attempt.host.name} {late:.3f} s after the ack, ran at {runs[0]:.3f} s and"
        f" was answered {attempt.status}"
    )


if __name__ == "__main__":
    run_case(FOLDER, case)
