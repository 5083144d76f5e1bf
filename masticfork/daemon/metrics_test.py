from masticfork.daemon.metrics import Metrics
from masticfork.peers.drops import LinkCounts

LINK_COUNTS = LinkCounts({}, {"heartbeat": 10}, {}, {"heartbeat": 20}, {})


class TestMetrics:
    def test_exposes_histograms_by_team_and_class(self):
        metrics = Metrics()
        for histogram in (
            metrics.first_token,
            metrics.token_gap,
            metrics.queueing,
            metrics.total,
            metrics.cost,
        ):
            histogram.labels("order-desk", "drafting").observe(0.5)
        text = metrics.exposition().decode()
        labels = '{team="order-desk",work_class="drafting"}'
        for name in (
            "first_token_seconds",
            "token_gap_seconds",
            "queueing_seconds",
            "total_seconds",
            "cost",
        ):
            assert f"masticfork_{name}_count{labels} 1.0" in text

    def test_exposes_counts_of_other_components(self):
        metrics = Metrics()
        metrics.refresh(3, 17, {"put": 4}, LINK_COUNTS)
        text = metrics.exposition().decode()
        assert "masticfork_configuration_number 17.0" in text
        assert 'masticfork_platform_calls{kind="put"} 4.0' in text
        assert 'masticfork_peer_bytes{kind="heartbeat",way="sent"} 10.0' in text
