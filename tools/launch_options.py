"""Options of a local cluster, and the backend servers that follow from them."""

from collections.abc import Callable, Iterator
from typing import Any

import attrs

from tools.launch_files import FENCING_POOLS, POOLS, SERVICE, ZONES, Server

SERVICE_SLOTS = 64

Json = dict[str, Any]
# A backend server with port 0, its stand-in program and that program's arguments.
Backend = tuple[Server, str, list[str]]


@attrs.frozen
class Options:
    """Size of the cluster and behaviour of its stand-ins; times in seconds."""

    hosts: int = 4
    engines_per_pool: int = 3
    service_servers: int = 2
    slots: int = 16
    tokens: int = 64
    token_seconds: float = 0.057
    first_token_seconds: float = 0.2
    # Extra command-line arguments of stand-ins, by program or stand-in name.
    arguments: dict[str, list[str]] = attrs.field(factory=dict)
    # Changes to the default settings of every host.
    settings: Json = attrs.field(factory=dict)
    # Returns the manifest to submit, given the default one.
    change_manifest: Callable[[Json], Json] = lambda manifest: manifest


def engine_backends(options: Options) -> Iterator[Backend]:
    """Yield the engines of all pools, distributed over the zones."""
    behaviour = {
        "--slots": options.slots,
        "--tokens": options.tokens,
        "--token-seconds": options.token_seconds,
        "--first-token-seconds": options.first_token_seconds,
    }
    common = [str(part) for pair in behaviour.items() for part in pair]
    number = 0
    for pool, versions in POOLS.items():
        for index in range(options.engines_per_pool):
            number += 1
            name, zone = f"drafting-{number}", ZONES[index % len(ZONES)]
            own_arguments = ["--name", name, "--versions", ",".join(versions)]
            checks_fencing = pool in FENCING_POOLS
            own_arguments += ["--checks-fencing"] if checks_fencing else []
            server = Server(name, pool, zone, 0, options.slots, checks_fencing)
            yield server, "engine", own_arguments + common


def service_backends(options: Options) -> Iterator[Backend]:
    """Yield the servers of the plain service, distributed over the zones."""
    for index in range(options.service_servers):
        zone = ZONES[index % len(ZONES)]
        server = Server(f"{SERVICE}-{index + 1}", SERVICE, zone, 0, SERVICE_SLOTS)
        yield server, "plain_service", []
