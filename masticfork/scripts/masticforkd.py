"""Command line of the daemon."""

import signal
import sys
import time
from pathlib import Path

import click
from result import Err

from masticfork.core.ids import HostName, ZoneName
from masticfork.daemon.daemon import Daemon
from masticfork.daemon.logs import JsonLineHandler
from masticfork.settings.settings import load_settings

EXIT_FINDINGS = 2


@click.command()
@click.option(
    "--settings",
    "settings_path",
    required=True,
    type=click.Path(path_type=Path),
    help="Settings file, JSON with comments.",
)
@click.option("--check", is_flag=True, help="Only check the settings.")
def main(settings_path: Path, check: bool) -> None:
    """Run one entry host of masticfork."""
    loaded = load_settings(settings_path)
    if isinstance(loaded, Err):
        for finding in loaded.err_value:
            click.echo(str(finding), err=True)
        sys.exit(EXIT_FINDINGS)
    if check:
        click.echo(f"{settings_path}: settings are valid")
        return
    settings = loaded.ok_value
    handler = JsonLineHandler(
        HostName(settings.host), ZoneName(settings.zone), settings.log_level.value
    )
    with handler.applicationbound():
        daemon = Daemon(settings, time.time)
        signal.signal(signal.SIGTERM, lambda *_: daemon.stop())
        signal.signal(signal.SIGINT, lambda *_: daemon.stop())
        daemon.run()


if __name__ == "__main__":
    main()
