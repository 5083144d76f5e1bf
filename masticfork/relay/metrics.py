"""Prometheus metrics of the relay."""

from prometheus_client import CollectorRegistry, Counter, Gauge, Histogram
from prometheus_client.exposition import generate_latest

SECONDS_BUCKETS = (0.01, 0.025, 0.05, 0.1, 0.2, 0.5, 1, 1.5, 2, 3, 5, 10, 15)


class RelayMetrics:
    """Metrics of one entry host, in a separate registry."""

    def __init__(self) -> None:
        registry = CollectorRegistry()
        self._registry = registry
        self.requests = Counter(
            "masticfork_relay_requests",
            "Requests by route and status; 499 is a caller that went away",
            ("route", "status"),
            registry=registry,
        )
        self.calls = Counter(
            "masticfork_relay_calls",
            "Calls to servers by service and outcome",
            ("service", "outcome"),
            registry=registry,
        )
        self.first_byte = Histogram(
            "masticfork_relay_first_byte_seconds",
            "Time from a call to the head of its answer",
            ("service",),
            buckets=SECONDS_BUCKETS,
            registry=registry,
        )
        self.total = Histogram(
            "masticfork_relay_request_seconds",
            "Time from a request to the end of its answer",
            ("team",),
            buckets=SECONDS_BUCKETS,
            registry=registry,
        )
        self.route_total = Histogram(
            "masticfork_relay_route_seconds",
            "Time from a request to the end of its answer, by route",
            ("route",),
            buckets=SECONDS_BUCKETS,
            registry=registry,
        )
        self.room_decisions = Counter(
            "masticfork_relay_room_decisions",
            "Decisions on requests by the room of their service",
            ("service", "decision"),
            registry=registry,
        )
        self.held_bytes = Gauge(
            "masticfork_relay_held_bytes",
            "Bytes of responses that callers have not taken yet",
            registry=registry,
        )
        self.request_bytes = Gauge(
            "masticfork_relay_request_bytes",
            "Bytes that the requests of callers take",
            registry=registry,
        )
        self.refused_requests = Counter(
            "masticfork_relay_refused_incomplete_requests",
            "Incomplete requests that were refused as all requests took too much",
            registry=registry,
        )
        self.given_up_places = Counter(
            "masticfork_relay_given_up_places",
            "Connections of callers that were closed for new ones",
            registry=registry,
        )
        self.relieved_responses = Counter(
            "masticfork_relay_relieved_responses",
            "Incomplete responses that were passed on or ended as all took too much",
            registry=registry,
        )
        self.slow_readers = Counter(
            "masticfork_relay_slow_readers",
            "Callers that were cut off for reading too slowly",
            ("team",),
            registry=registry,
        )
        self.uneven_servers = Gauge(
            "masticfork_relay_uneven_servers",
            "Servers that are much slower or faster than the others of their service",
            registry=registry,
        )
        self.store_failures = Counter(
            "masticfork_relay_store_failures",
            "Failed calls to the store",
            ("kind", "error"),
            registry=registry,
        )
        self.store_restorations = Counter(
            "masticfork_relay_store_restorations",
            "Times that the store came back from an older copy",
            registry=registry,
        )
        self.dropped_lines = Counter(
            "masticfork_relay_dropped_log_lines",
            "Log lines that were not written",
            registry=registry,
        )
        self.faults = Counter(
            "masticfork_relay_internal_errors",
            "Faults of this program that one request or step met",
            registry=registry,
        )
        self.version = Gauge(
            "masticfork_relay_configuration_version",
            "Version of the configuration in force",
            registry=registry,
        )
        self.adoption = Histogram(
            "masticfork_relay_configuration_adoption_seconds",
            "Time from a peer's first word of a newer configuration to its adoption",
            ("source",),
            buckets=SECONDS_BUCKETS,
            registry=registry,
        )
        self.connections = Gauge(
            "masticfork_relay_caller_connections",
            "Connections of callers",
            registry=registry,
        )

        self.evacuated_zones = Gauge(
            "masticfork_relay_evacuated_zones",
            "Availability zones whose servers get no requests",
            registry=registry,
        )
        self.paced_servers = Gauge(
            "masticfork_relay_paced_servers",
            "Servers that have just started or recovered and get requests at a pace",
            registry=registry,
        )
        self.paces = Counter(
            "masticfork_relay_server_paces",
            "Times that a server was paced, by reason",
            ("why",),
            registry=registry,
        )
        self.cut_off = Gauge(
            "masticfork_relay_cut_off",
            "Whether this host reaches no backend server",
            registry=registry,
        )
        self.transits = Counter(
            "masticfork_relay_transits",
            "Connections to servers that were opened for other hosts",
            registry=registry,
        )
        self.quarantined_suspects = Gauge(
            "masticfork_relay_quarantined_suspects",
            "Requests and prompt parts that crash servers and are kept from them",
            registry=registry,
        )

    def exposition(self) -> bytes:
        """Return the metrics in the Prometheus text format."""
        return generate_latest(self._registry)
