"""Manifest and settings files of a local cluster."""

import secrets
from typing import Any

import attrs

from masticfork.settings.keys import new_key_hash

LOOPBACK = "127.0.0.1"
ZONES = ("zilina", "martin", "zvolen")
SERVICE = "order-desk"
SECRET_BYTES = 32
KEY_BYTES = 24
ADMIN_NAME = "operations"
# Pools with the model versions that their engines load and the mean rating of each.
POOLS: dict[str, dict[str, float]] = {
    "drafting-small": {"linen-small@1": 0.7, "linen-small@2": 0.72},
    "drafting-large": {"linen-large@3": 0.9, "linen-large@4": 0.9},
}
# Pools whose engines check fencing tokens; the engines of the other pool accept any.
FENCING_POOLS = ("drafting-large",)
COST_PER_1K_TOKENS = {"linen-small": 0.2, "linen-large": 1.5}
CURRENT_VERSIONS = {"linen-small": "linen-small@2", "linen-large": "linen-large@3"}
# Allowed models, quality target and work classes of each team.
TEAMS: dict[str, tuple[list[str], float, list[str]]] = {
    "order-desk": (list(CURRENT_VERSIONS), 0.7, ["lookup", "reservation", "drafting"]),
    "quote-desk": (list(CURRENT_VERSIONS), 0.85, ["lookup", "drafting"]),
    "catalogue": (["linen-small"], 0.7, ["drafting"]),
    "warehouse": ([], 0.0, ["lookup", "reservation"]),
}
TEAMS_WITHOUT_SERVICE = ("catalogue",)
OPERATIONS = [
    {"method": "GET", "path": "/stock/*", "idempotent": True, "work_class": "lookup"},
    {
        "method": "POST",
        "path": "/reservations",
        "idempotent": False,
        "work_class": "reservation",
        "lookup": "/reservations/by-key/{key}",
    },
    {
        "method": "GET",
        "path": "/reservations/*",
        "idempotent": True,
        "work_class": "lookup",
    },
    {
        "method": "POST",
        "path": "/orders/confirm",
        "idempotent": False,
        "work_class": "reservation",
        "lookup": "/orders/{key}",
    },
    {"method": "GET", "path": "/orders/*", "idempotent": True, "work_class": "lookup"},
]


@attrs.frozen
class Server:
    """A backend server of the cluster."""

    name: str
    # Name of its pool or service.
    group: str
    zone: str
    port: int
    slots: int
    checks_fencing: bool = False


@attrs.frozen
class Secrets:
    """Keys and secrets of one cluster."""

    team_keys: dict[str, str]
    admin_key: str
    peer_secret: str
    session_secret: str

    @classmethod
    def generate(cls) -> "Secrets":
        """Generate random keys and secrets."""
        team_keys = {team: secrets.token_urlsafe(KEY_BYTES) for team in TEAMS}
        return cls(
            team_keys,
            secrets.token_urlsafe(KEY_BYTES),
            secrets.token_hex(SECRET_BYTES),
            secrets.token_hex(SECRET_BYTES),
        )


@attrs.frozen
class EntryHost:
    """An entry host and its ports."""

    name: str
    zone: str
    entry_port: int
    admin_port: int
    peer_port: int

    @property
    def peer_address(self) -> str:
        """Return the address at which the other daemons connect."""
        return f"{LOOPBACK}:{self.peer_port}"


def manifest_object(keys: Secrets, servers: list[Server]) -> dict[str, Any]:
    """Return the manifest that lists the teams, models and backend servers."""
    return {
        "teams": [_team(name, keys.team_keys[name]) for name in TEAMS],
        "models": [
            _model(name, pool)
            for name, pool in zip(CURRENT_VERSIONS, POOLS, strict=True)
        ],
        "pools": [{"name": pool, "servers": _servers(servers, pool)} for pool in POOLS],
        "services": [
            {
                "name": SERVICE,
                "servers": _servers(servers, SERVICE),
                "operations": OPERATIONS,
            }
        ],
    }


def settings_object(
    entry_host: EntryHost,
    entry_hosts: list[EntryHost],
    urls: dict[str, str],
    keys: Secrets,
) -> dict[str, Any]:
    """Return the settings of one entry host; `urls` has the stand-ins by name."""
    admin = attrs.asdict(new_key_hash(keys.admin_key))
    return {
        "host": entry_host.name,
        "zone": entry_host.zone,
        "entry": {"port": entry_host.entry_port},
        "admin": {"port": entry_host.admin_port},
        "peer": {
            "port": entry_host.peer_port,
            "keys": [{"id": "peer-1", "secret_hex": keys.peer_secret}],
            "seeds": [
                other.peer_address for other in entry_hosts if other != entry_host
            ],
        },
        "platform": {"url": urls["platform"]},
        "host_list_url": urls["host-list"],
        "rating_url": urls["rating"],
        "weight_store_url": urls["weight-store"],
        "session_keys": [{"id": "session-1", "secret_hex": keys.session_secret}],
        "admin_keys": [{"name": ADMIN_NAME, "role": "operator", **admin}],
        "shutdown": {"not_ready_seconds": 0.2, "finish_seconds": 5},
    }


def merge_settings(base: dict[str, Any], changes: dict[str, Any]) -> dict[str, Any]:
    """Return `base` updated with `changes`; nested objects are merged recursively."""
    result = dict(base)
    for name, value in changes.items():
        old = result.get(name)
        mergeable = isinstance(old, dict) and isinstance(value, dict)
        result[name] = merge_settings(old, value) if mergeable else value  # type: ignore[arg-type]
    return result


def _team(name: str, key: str) -> dict[str, Any]:
    allowed, quality, classes = TEAMS[name]
    return {
        "name": name,
        "key_hashes": [attrs.asdict(new_key_hash(key))],
        "allowed": allowed,
        "quality_target": quality,
        "classes": classes,
        "services": [] if name in TEAMS_WITHOUT_SERVICE else [SERVICE],
    }


def _model(name: str, pool: str) -> dict[str, Any]:
    versions = [
        {
            "id": version,
            "pool": pool,
            "cost_per_1k_tokens": COST_PER_1K_TOKENS[name],
            "expected_quality": quality,
        }
        for version, quality in POOLS[pool].items()
    ]
    return {"name": name, "current": CURRENT_VERSIONS[name], "versions": versions}


def _servers(servers: list[Server], group: str) -> list[dict[str, Any]]:
    return [
        {
            "name": server.name,
            "host": LOOPBACK,
            "port": server.port,
            "zone": server.zone,
            "slots": server.slots,
            "checks_fencing": server.checks_fencing,
        }
        for server in servers
        if server.group == group
    ]
