"""Apply a configuration and its servers to the tables."""

import attrs

from masticfork.core.configuration import Configuration
from masticfork.core.ids import ServerName
from masticfork.core.manifest import BackendServer, Manifest
from masticfork.core.tables import ServerRow, Tables


def declared_servers(manifest: Manifest) -> dict[ServerName, BackendServer]:
    """Return the servers of all pools and services, by name."""
    pool_servers = [server for pool in manifest.pools for server in pool.servers]
    service_servers = [server for row in manifest.services for server in row.servers]
    return {server.name: server for server in (*pool_servers, *service_servers)}


def activate(tables: Tables, configuration: Configuration) -> bool:
    """Apply the configuration if it is newer; return whether it was applied."""
    current = tables.configuration
    if current is not None and configuration.number <= current.number:
        return False
    declared = declared_servers(configuration.manifest)
    # Rows are added before the configuration that declares them and removed after it,
    # so that a concurrent reader always finds the row of a declared server.
    for name, server in declared.items():
        row = tables.servers.get(name)
        tables.servers[name] = (
            attrs.evolve(row, server=server) if row else ServerRow(server)
        )
    tables.configuration = configuration
    for name in [name for name in tables.servers if name not in declared]:
        del tables.servers[name]
    return True
