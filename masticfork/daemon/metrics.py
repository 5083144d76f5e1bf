"""Prometheus metrics; the number of label values is bounded."""

from prometheus_client import CollectorRegistry, Counter, Gauge, Histogram
from prometheus_client.exposition import generate_latest

from masticfork.peers.drops import LinkCounts

SECONDS_BUCKETS = (0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 0.78, 1, 2.5, 5, 10, 30)
TOKEN_GAP_BUCKETS = (0.005, 0.01, 0.02, 0.04, 0.057, 0.08, 0.12, 0.25, 0.5, 1, 2)
COST_BUCKETS = (0.0001, 0.001, 0.01, 0.1, 1, 10)
_TEAM_LABELS = ("team", "work_class")


class Metrics:
    """All metrics of one daemon, in their own registry."""

    def __init__(self) -> None:
        self.registry = CollectorRegistry()
        self.requests = Counter(
            "masticfork_requests",
            "Requests answered",
            ("status",),
            registry=self.registry,
        )
        self.refusals = Counter(
            "masticfork_refusals", "Refusals", ("reason",), registry=self.registry
        )
        self.first_token = self._duration_histogram(
            "first_token", "Time to the first token"
        )
        self.token_gap = Histogram(
            "masticfork_token_gap_seconds",
            "Mean time between tokens of an answer",
            _TEAM_LABELS,
            buckets=TOKEN_GAP_BUCKETS,
            registry=self.registry,
        )
        self.queueing = self._duration_histogram(
            "queueing", "Wait for a place in service"
        )
        self.total = self._duration_histogram(
            "total", "Time from request to end of answer"
        )
        self.cost = Histogram(
            "masticfork_cost",
            "Price of an answer in the manifest's currency",
            _TEAM_LABELS,
            buckets=COST_BUCKETS,
            registry=self.registry,
        )
        self.answers = Counter(
            "masticfork_answers",
            "Answers by version",
            ("version", "outcome"),
            registry=self.registry,
        )
        self.in_flight = Gauge(
            "masticfork_in_flight",
            "Requests at backend servers",
            registry=self.registry,
        )
        self.configuration = Gauge(
            "masticfork_configuration_number",
            "Number of the configuration in force",
            registry=self.registry,
        )
        self.platform_calls = Gauge(
            "masticfork_platform_calls",
            "Calls to the platform so far",
            ("kind",),
            registry=self.registry,
        )
        self.peer_bytes = Gauge(
            "masticfork_peer_bytes",
            "Bytes of messages between hosts so far",
            ("way", "kind"),
            registry=self.registry,
        )
        self.peer_drops = Gauge(
            "masticfork_peer_drops",
            "Messages of peers dropped so far",
            ("reason",),
            registry=self.registry,
        )

    def refresh(
        self,
        in_flight: int,
        configuration_number: int,
        calls: dict[str, int],
        link_counts: LinkCounts,
    ) -> None:
        """Set the gauges from counts that other components keep."""
        self.in_flight.set(in_flight)
        self.configuration.set(configuration_number)
        for kind, count in calls.items():
            self.platform_calls.labels(kind).set(count)
        for kind, count in link_counts.sent_bytes.items():
            self.peer_bytes.labels("sent", kind).set(count)
        for kind, count in link_counts.received_bytes.items():
            self.peer_bytes.labels("received", kind).set(count)
        for reason, count in link_counts.dropped.items():
            self.peer_drops.labels(reason.value).set(count)

    def exposition(self) -> bytes:
        """Return the metrics in the Prometheus text format."""
        return generate_latest(self.registry)

    def _duration_histogram(self, name: str, documentation: str) -> Histogram:
        return Histogram(
            f"masticfork_{name}_seconds",
            documentation,
            _TEAM_LABELS,
            buckets=SECONDS_BUCKETS,
            registry=self.registry,
        )
