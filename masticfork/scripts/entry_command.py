"""Command line of an entry host on the users' platform."""

import os
import signal
import sys
from pathlib import Path

import click
from result import Err

from masticfork.core.backend_servers import Address
from masticfork.platform import names
from masticfork.platform.settings_file import load_settings
from masticfork.relay.entry import EntryHost
from masticfork.relay.logs import BoundedJsonHandler

EXIT_FINDINGS = 2


@click.command()
@click.option(
    "--settings",
    "settings_path",
    type=click.Path(path_type=Path),
    default=lambda: os.environ.get(names.SETTINGS_VARIABLE),
    help="Settings file in the platform's format.",
)
@click.option("--check", is_flag=True, help="Only check the settings.")
@click.option(
    "--metrics-port", type=int, default=None, help="Port to serve metrics on."
)
def main(settings_path: Path | None, check: bool, metrics_port: int | None) -> None:
    """Run one entry host of masticfork on the users' platform."""
    if settings_path is None:
        raise click.UsageError(f"give --settings, or set {names.SETTINGS_VARIABLE}")
    path = Path(settings_path)
    loaded = load_settings(path)
    if isinstance(loaded, Err):
        click.echo(str(loaded.err_value), err=True)
        sys.exit(EXIT_FINDINGS)
    if check:
        click.echo(f"{settings_path}: settings are valid")
        return
    settings = loaded.ok_value
    handler = BoundedJsonHandler(settings.host, settings.zone)
    with handler.applicationbound():
        host = EntryHost(settings, handler)
        if metrics_port is not None:
            host.serve_metrics(Address(settings.front.host, metrics_port))
        signal.signal(signal.SIGTERM, lambda *_: host.request_stop())
        signal.signal(signal.SIGINT, lambda *_: host.request_stop())
        signal.signal(
            signal.SIGHUP, lambda *_: host.request_reload(load_settings(path))
        )
        # A SIGHUP received before its handler was installed was ignored.
        latest = load_settings(path)
        if latest != loaded:
            host.request_reload(latest)
        host.run()
    # Skips joining the threads that wait for the store: they hold no state.
    os._exit(0)
