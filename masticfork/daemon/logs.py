"""Log records as JSON lines on standard output."""

import json
import sys
from typing import Any

import logbook

from masticfork.core.ids import HostName, ZoneName

LEVELS = ("debug", "info", "warning", "error")


class JsonLineHandler(logbook.StreamHandler):  # type: ignore[misc]
    """Write each record as one JSON object with the host and its zone."""

    def __init__(self, host: HostName, zone: ZoneName, level: str) -> None:
        super().__init__(sys.stdout, level=logbook.lookup_level(level.upper()))
        self._base = {"host": host, "availability_zone": zone}

    def format(self, record: Any) -> str:
        """Return the record as a JSON line."""
        line = {
            "at": record.time.isoformat(),
            "level": record.level_name.lower(),
            "logger": record.channel,
            **self._base,
            "message": record.message,
            **record.kwargs,
        }
        if record.exc_info:
            line["exception"] = record.formatted_exception
        return json.dumps(line, default=str)
