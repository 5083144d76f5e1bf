"""What a local cluster consists of."""

from collections.abc import Callable, Iterator
from typing import Any

import attrs

from tools.launch_files import CHECKING_POOLS, POOLS, SERVICE, ZONES, Server

SERVICE_SLOTS = 64

Json = dict[str, Any]
# A backend server without its port, its stand-in and that one's options.
Backend = tuple[Server, str, list[str]]


@attrs.frozen
class Options:
    """What to start, and how the stand-ins behave; times in seconds."""

    hosts: int = 4
    engines_per_pool: int = 3
    service_servers: int = 2
    slots: int = 16
    tokens: int = 64
    token_seconds: float = 0.057
    first_token_seconds: float = 0.2
    # Options of a stand-in's command line by its program or its name.
    arguments: dict[str, list[str]] = attrs.field(factory=dict)
    # Settings that differ from those of a plain start, the same for all hosts.
    settings: Json = attrs.field(factory=dict)
    # Makes the manifest to submit out of that of a plain start.
    change_manifest: Callable[[Json], Json] = lambda manifest: manifest


def engines(options: Options) -> Iterator[Backend]:
    """Yield the engines of all pools, spread over the zones."""
    paces = {
        "--slots": options.slots,
        "--tokens": options.tokens,
        "--token-seconds": options.token_seconds,
        "--first-token-seconds": options.first_token_seconds,
    }
    common = [str(part) for pair in paces.items() for part in pair]
    number = 0
    for pool, versions in POOLS.items():
        for index in range(options.engines_per_pool):
            number += 1
            name, zone = f"drafting-{number}", ZONES[index % len(ZONES)]
            own = ["--name", name, "--versions", ",".join(versions)]
            checks = pool in CHECKING_POOLS
            own += ["--checks-fencing"] if checks else []
            server = Server(name, pool, zone, 0, options.slots, checks)
            yield server, "engine", own + common


def services(options: Options) -> Iterator[Backend]:
    """Yield the servers of the plain service, spread over the zones."""
    for index in range(options.service_servers):
        zone = ZONES[index % len(ZONES)]
        server = Server(f"{SERVICE}-{index + 1}", SERVICE, zone, 0, SERVICE_SLOTS)
        yield server, "plain_service", []
