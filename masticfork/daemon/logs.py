"""Write log records as JSON lines to standard output."""

import json
import sys
from typing import Any

import logbook

from masticfork.core.ids import HostName, ZoneName

LEVELS = ("debug", "info", "warning", "error")


class JsonLineHandler(logbook.StreamHandler):  # type: ignore[misc]
    """Writes each record as one JSON object that includes the host and its zone."""

    def __init__(self, host: HostName, zone: ZoneName, level: str) -> None:
        super().__init__(sys.stdout, level=logbook.lookup_level(level.upper()))
        self._common_fields = {"host": host, "availability_zone": zone}

    def format(self, record: Any) -> str:
        """Return the record as a JSON line."""
        fields = {
            "at": record.time.isoformat(),
            "level": record.level_name.lower(),
            "logger": record.channel,
            **self._common_fields,
            "message": record.message,
            **record.kwargs,
        }
        if record.exc_info:
            fields["exception"] = record.formatted_exception
        return json.dumps(fields, default=str)
