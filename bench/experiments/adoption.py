"""Compare adopting a lost host's generation with running the request again."""

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
# Share of the answer that is generated when the host dies.
LOST_AT = 0.5
OPTIONS = Options(
    hosts=2,
    engines_per_pool=3,
    service_servers=1,
    tokens=TOKENS,
    token_seconds=TOKEN_SECONDS,
    first_token_seconds=0,
)


def lose_one(cluster: Cluster, number: int, adopt: bool) -> tuple[float, int]:
    """Kill a host in mid-answer; return the retry's seconds and the tokens wasted.

    A retry under a new key cannot be adopted: it stands for running again.
    """
    caller, key = Caller(cluster), new_key()
    before = {g["id"] for g in generations(cluster)}
    lost = caller.stream(0, f"lost {number}", key)

    def half_done() -> bool:
        new = [g for g in generations(cluster) if g["id"] not in before]
        return any(g["tokens"] >= TOKENS * LOST_AT for g in new)

    wait_for(half_done, 10, "half of the answer")
    cluster.kill("entry-1")
    started = time.monotonic()
    retried = caller.stream(1, f"lost {number}", key if adopt else new_key())
    stream = retried.read_all()
    seconds = time.monotonic() - started
    if not stream.whole or lost.read_all().whole:
        raise RuntimeError("the retry was not whole, or the host was not lost")
    cluster.restart("entry-1")
    new = [g for g in generations(cluster) if g["id"] not in before]
    return seconds, sum(g["tokens"] for g in new) - TOKENS


@click.command()
@click.option("--repeats", default=5)
def main(repeats: int) -> None:
    """Print one JSON line for each way."""
    with launch.start(OPTIONS) as cluster:
        for way in ("adopt", "run again"):
            rows = [lose_one(cluster, n, way == "adopt") for n in range(repeats)]
            figures = {
                "way": way,
                "repeats": repeats,
                "tokens": TOKENS,
                "seconds_to_last_token_p50": round(
                    statistics.median(seconds for seconds, _ in rows), 3
                ),
                "tokens_wasted_mean": statistics.mean(wasted for _, wasted in rows),
            }
            click.echo(json.dumps(figures))


if __name__ == "__main__":
    main()
