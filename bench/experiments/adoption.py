"""Compare two retries after a host is killed: adopt its generation or run again."""

import json
import statistics
import time

import click

from proofs.calling import Caller, new_key, wait_for
from proofs.counting import generations
from tools import launch
from tools.launch import Cluster
from tools.launch_options import Options

TOKENS = 100
TOKEN_SECONDS = 0.02
# The host is killed when this share of the answer has been generated.
KILLED_AT_SHARE = 0.5
OPTIONS = Options(
    hosts=2,
    engines_per_pool=3,
    service_servers=1,
    tokens=TOKENS,
    token_seconds=TOKEN_SECONDS,
    first_token_seconds=0,
)


def kill_during_answer(cluster: Cluster, number: int, adopt: bool) -> tuple[float, int]:
    """Kill a host during an answer; return the seconds of the retry and wasted tokens.

    A retry with a new key cannot adopt the generation, so the request runs again.
    """
    caller, key = Caller(cluster), new_key()
    before = {g["id"] for g in generations(cluster)}
    interrupted = caller.stream(0, f"lost {number}", key)

    def half_done() -> bool:
        new = [g for g in generations(cluster) if g["id"] not in before]
        return any(g["tokens"] >= TOKENS * KILLED_AT_SHARE for g in new)

    wait_for(half_done, 10, "half of the answer")
    cluster.kill("entry-1")
    started = time.monotonic()
    retried = caller.stream(1, f"lost {number}", key if adopt else new_key())
    stream = retried.read_all()
    seconds = time.monotonic() - started
    if not stream.whole or interrupted.read_all().whole:
        raise RuntimeError(
            "the retry was incomplete, or the killed host completed its answer"
        )
    cluster.restart("entry-1")
    new = [g for g in generations(cluster) if g["id"] not in before]
    return seconds, sum(g["tokens"] for g in new) - TOKENS


@click.command()
@click.option("--repeats", default=5)
def main(repeats: int) -> None:
    """Print one JSON line for each kind of retry."""
    with launch.start(OPTIONS) as cluster:
        for way in ("adopt", "run again"):
            retries = [
                kill_during_answer(cluster, n, way == "adopt") for n in range(repeats)
            ]
            figures = {
                "way": way,
                "repeats": repeats,
                "tokens": TOKENS,
                "seconds_to_last_token_p50": round(
                    statistics.median(seconds for seconds, _ in retries), 3
                ),
                "tokens_wasted_mean": statistics.mean(wasted for _, wasted in retries),
            }
            click.echo(json.dumps(figures))


if __name__ == "__main__":
    main()
