"""Start an entry host, with SIGHUP ignored until its handler is installed."""

import signal

# The default action of SIGHUP ends the process; the imports take a third of a second.
signal.signal(signal.SIGHUP, signal.SIG_IGN)

from masticfork.scripts.entry_command import main  # noqa: E402

if __name__ == "__main__":
    main()
