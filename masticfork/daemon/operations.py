"""Metrics and health probes on the administration listener."""

from collections.abc import Callable, Iterable
from typing import Any

from masticfork.daemon.listener import WsgiApp
from masticfork.entry.responses import Response, json_response, status_line

METRICS_PATH = "/metrics"
METRICS_CONTENT_TYPE = "text/plain; version=0.0.4; charset=utf-8"


class OperationsApp:
    """Serves metrics and probes; passes other requests to the administration API."""

    def __init__(
        self,
        admin: WsgiApp,
        metrics: Callable[[], bytes],
        ready: Callable[[], bool],
    ) -> None:
        self._admin = admin
        self._metrics = metrics
        self._ready = ready

    def __call__(self, environ: dict[str, Any], start_response: Any) -> Iterable[bytes]:
        """Handle one WSGI request."""
        response = self._operations_response(environ["PATH_INFO"])
        if response is None:
            return self._admin(environ, start_response)
        start_response(status_line(response.status), list(response.headers))
        return response.body

    def _operations_response(self, path: str) -> Response | None:
        if path == METRICS_PATH:
            return Response(
                200, (("Content-Type", METRICS_CONTENT_TYPE),), (self._metrics(),)
            )
        if path == "/livez":
            return json_response(200, {"live": True})
        if path == "/readyz":
            ready = self._ready()
            return json_response(200 if ready else 503, {"ready": ready})
        return None
