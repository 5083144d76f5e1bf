"""Start one entry host and its stand-ins, all in this process."""

import json
import random
import threading
import time

from masticfork.core.deadlines import Deadline
from masticfork.daemon.daemon import Daemon
from masticfork.settings.keys import hash_key
from masticfork.settings.settings import parse_settings
from standins.common import serving
from standins.engine import Engine
from standins.engine import Settings as EngineSettings
from standins.plain_service import PlainService
from standins.ports import free_port

SALT = "7fe8dda024a89811f57d59ea708ebdf0"
KEY = "example-order-desk"
START_TIMEOUT_SECONDS = 10.0
SECRET = "9bf65f4bed3de8aa8a7d4627a0456aba5615d85d7b11fc3cb228d473ae73ce53"
CONFIGURATION_KEY = "configuration/current"


def server(name: str, port: int) -> dict:
    return {"name": name, "host": "127.0.0.1", "port": port, "zone": "zilina"}


def key_hash(key: str) -> dict:
    return {"salt": SALT, "sha256": hash_key(key, SALT)}


def manifest(small_port: int, large_port: int, orders_port: int) -> dict:
    """Return a manifest of two models and an order service on these local ports."""
    return {
        "teams": [
            {
                "name": "order-desk",
                "key_hashes": [key_hash(KEY)],
                "allowed": ["linen-small", "linen-large"],
                "quality_target": 0.8,
                "services": ["orders"],
            },
            {
                "name": "gallery",
                "key_hashes": [key_hash("example-gallery")],
                "allowed": ["linen-small"],
                "quality_target": 0.5,
            },
        ],
        "models": [
            model("linen-small", "small", 0.1, 0.7),
            model("linen-large", "large", 1.0, 0.95),
        ],
        "pools": [
            {"name": "small", "servers": [server("engine-small", small_port)]},
            {"name": "large", "servers": [server("engine-large", large_port)]},
        ],
        "services": [
            {
                "name": "orders",
                "servers": [server("orders-1", orders_port)],
                "operations": [
                    {"method": "GET", "path": "/stock/*", "idempotent": True},
                    {
                        "method": "POST",
                        "path": "/reservations",
                        "idempotent": False,
                        "work_class": "reservation",
                        "lookup": "/reservations/by-key/{key}",
                    },
                ],
            }
        ],
    }


def model(name: str, pool: str, cost: float, quality: float) -> dict:
    version = {
        "id": "1",
        "pool": pool,
        "cost_per_1k_tokens": cost,
        "expected_quality": quality,
    }
    return {"name": name, "versions": [version], "current": "1"}


def settings_text(port: int) -> str:
    settings = {
        "host": "entry-1",
        "zone": "zilina",
        "entry": {
            "port": port,
            "threads": 8,
            "max_body_bytes": 10_000,
            "max_header_count": 20,
            "max_header_bytes": 4_000,
        },
        "admin": {"port": free_port()},
        "peer": {"port": free_port(), "keys": [{"id": "p", "secret_hex": SECRET}]},
        "platform": {"embedded": True, "bill_interval_seconds": 0},
        "session_keys": [{"id": "s", "secret_hex": SECRET}],
        "admin_keys": [{"name": "operations", "role": "operator", **key_hash("admin")}],
        "shutdown": {"not_ready_seconds": 0.01, "finish_seconds": 2},
        "log_level": "error",
    }
    return json.dumps(settings)


def start_entry_host(context) -> None:
    """Start the entry host and its stand-ins, which stop at the end of the scenario."""
    enter_context = context.stack.enter_context
    engines = {
        name: Engine(
            EngineSettings(
                name=name,
                versions=(f"linen-{name}@1",),
                token_seconds=0.002,
                first_token_seconds=0.002,
            )
        )
        for name in ("small", "large")
    }
    context.engines = engines
    context.orders = PlainService()
    small = enter_context(serving(engines["small"]))
    large = enter_context(serving(engines["large"]))
    orders = enter_context(serving(context.orders))
    settings = parse_settings(settings_text(free_port()), "features").unwrap()
    daemon = Daemon(settings, context.clock, random.Random(7))
    context.daemon = daemon
    thread = threading.Thread(target=daemon.run)
    thread.start()
    context.stack.callback(thread.join)
    context.stack.callback(daemon.stop)
    configuration = {
        "submission_id": "features",
        "manifest": manifest(small.port, large.port, orders.port),
    }
    deadline = Deadline.after(context.clock(), START_TIMEOUT_SECONDS)
    daemon.store.create(CONFIGURATION_KEY, configuration, deadline).unwrap()
    wait_until_ready(daemon.entry_port)


def wait_until_ready(port: int) -> None:
    from features.steps.callers import call

    deadline = time.monotonic() + START_TIMEOUT_SECONDS
    while time.monotonic() < deadline:
        if call(port, "GET", "/readyz").status == 200:
            return
        time.sleep(0.02)
    raise AssertionError(f"the daemon was not ready within {START_TIMEOUT_SECONDS} s")
