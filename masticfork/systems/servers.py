"""Put a configuration in force in the tables."""

import attrs

from masticfork.core.configuration import Configuration
from masticfork.core.ids import ServerName
from masticfork.core.manifest import BackendServer, Manifest
from masticfork.core.tables import ServerRow, Tables


def declared_servers(manifest: Manifest) -> dict[ServerName, BackendServer]:
    """Return the servers of all pools and services by name."""
    in_pools = [server for pool in manifest.pools for server in pool.servers]
    in_services = [server for row in manifest.services for server in row.servers]
    return {server.name: server for server in (*in_pools, *in_services)}


def put_in_force(tables: Tables, configuration: Configuration) -> bool:
    """Apply a configuration with its servers; only a newer one is applied."""
    current = tables.configuration
    if current is not None and configuration.number <= current.number:
        return False
    declared = declared_servers(configuration.manifest)
    # Rows come before the configuration that names them and go after it, so that
    # a decision never meets a declared server without its row.
    for name, server in declared.items():
        row = tables.servers.get(name)
        tables.servers[name] = (
            attrs.evolve(row, server=server) if row else ServerRow(server)
        )
    tables.configuration = configuration
    for name in [name for name in tables.servers if name not in declared]:
        del tables.servers[name]
    return True
