"""Checks of the pools, services and backend servers of a manifest."""

from collections.abc import Iterator

from masticfork.core.manifest import BackendServer, Manifest, Operation, Service
from masticfork.settings.faults import Fault, repeated, warning
from masticfork.settings.values import MAX_PORT, is_ip_address

METHODS = frozenset({"GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS"})

# Placeholder for the idempotency key in the path of a lookup.
KEY_PLACEHOLDER = "{key}"


def check_servers(manifest: Manifest) -> Iterator[Fault]:
    """Yield every fault of servers, and of services with their operations."""
    servers = list(_servers_by_path(manifest))
    for path, server in servers:
        yield from _check_server(server, path)
    for index in repeated(server.name for _, server in servers):
        path, server = servers[index]
        message = f"{server.name!r} is declared twice"
        yield Fault("duplicate_name", f"{path}.name", message)
    for index in repeated((server.host, server.port) for _, server in servers):
        path, server = servers[index]
        message = f"another server also has {server.host}:{server.port}"
        yield Fault("duplicate_address", path, message)
    for index, pool in enumerate(manifest.pools):
        if not pool.servers:
            message = f"pool {pool.name!r} has no server"
            yield warning("no_server", f"pools[{index}].servers", message)
    for index, service in enumerate(manifest.services):
        yield from _check_service(service, f"services[{index}]")


def _servers_by_path(manifest: Manifest) -> Iterator[tuple[str, BackendServer]]:
    groups = [(f"pools[{i}]", p.servers) for i, p in enumerate(manifest.pools)]
    groups += [(f"services[{i}]", s.servers) for i, s in enumerate(manifest.services)]
    for path, servers in groups:
        for index, server in enumerate(servers):
            yield f"{path}.servers[{index}]", server


def _check_server(server: BackendServer, path: str) -> Iterator[Fault]:
    if not is_ip_address(server.host):
        message = f"{server.host!r} is not an IP address"
        yield Fault("address", f"{path}.host", message)
    if not 1 <= server.port <= MAX_PORT:
        message = f"expected a port from 1 to {MAX_PORT}"
        yield Fault("address", f"{path}.port", message)
    if server.slots < 1:
        yield Fault("value", f"{path}.slots", "expected at least 1")


def _check_service(service: Service, path: str) -> Iterator[Fault]:
    if not service.servers:
        message = f"service {service.name!r} has no server"
        yield warning("no_server", f"{path}.servers", message)
    calls = [(operation.method, operation.path) for operation in service.operations]
    for index in repeated(calls):
        message = f"{' '.join(calls[index])} is declared twice"
        yield Fault("duplicate_operation", f"{path}.operations[{index}]", message)
    for index, operation in enumerate(service.operations):
        yield from _check_operation(operation, f"{path}.operations[{index}]")


def _check_operation(operation: Operation, path: str) -> Iterator[Fault]:
    if operation.method not in METHODS:
        choices = ", ".join(sorted(METHODS))
        yield Fault("method", f"{path}.method", f"expected one of {choices}")
    yield from _check_path(operation.path.removesuffix("*"), f"{path}.path")
    if operation.lookup is not None:
        yield from _check_path(operation.lookup, f"{path}.lookup")
        if KEY_PLACEHOLDER not in operation.lookup:
            message = f"must contain {KEY_PLACEHOLDER}"
            yield Fault("path", f"{path}.lookup", message)
    elif not operation.idempotent:
        message = "without 'lookup', the outcome is unknown if the response is lost"
        yield warning("no_lookup", path, message)


def _check_path(path: str, key_path: str) -> Iterator[Fault]:
    if not path.startswith("/"):
        yield Fault("path", key_path, "expected a path that starts with '/'")
    if any(character in path for character in "*?#") or not path.isprintable():
        yield Fault(
            "path",
            key_path,
            "'*' is allowed only as the last character, '?' and '#' nowhere",
        )
    if " " in path or "/../" in f"{path}/":
        yield Fault("path", key_path, "expected a path without spaces and '..'")
