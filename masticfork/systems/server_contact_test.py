import attrs

from masticfork.systems.server_contact import (
    MIN_TRIAL_INTERVAL_SECONDS,
    PROBE_INTERVAL_SECONDS,
    RECENT_CONTACT_SECONDS,
    SURE_CONTACT_SECONDS,
    ServerContact,
    of_different_services,
)
from standins.fake_exchange import server_row


class TestTrials:
    def test_host_that_reaches_none_is_cut_off_until_it_reaches_one(self):
        contact = ServerContact()
        assert contact.begin_trial(1.0)
        assert contact.in_doubt
        assert contact.end_trial(0, 4, 1.25)
        assert contact.cut_off
        assert contact.begin_trial(1.25 + PROBE_INTERVAL_SECONDS)
        assert not contact.end_trial(0, 2, 2.0)
        assert contact.begin_trial(2.4)
        assert contact.end_trial(1, 2, 2.5)
        assert not contact.cut_off

    def test_one_server_that_is_reached_accuses_the_others(self):
        """Guards against crashed servers that are taken for a failed link."""
        contact = ServerContact()
        assert contact.begin_trial(1.0)
        assert not contact.end_trial(1, 4, 1.25)
        assert not contact.in_doubt

    def test_call_that_reaches_a_server_meanwhile_decides(self):
        contact = ServerContact()
        assert contact.begin_trial(1.0)
        contact.record_reached(1.1)
        assert not contact.end_trial(0, 4, 1.25)
        assert not contact.cut_off

    def test_trials_are_rare(self):
        """Guards against connections without end while many calls fail."""
        contact = ServerContact()
        assert contact.begin_trial(1.0)
        assert not contact.begin_trial(1.1)
        contact.end_trial(1, 4, 1.2)
        assert not contact.begin_trial(1.1 + MIN_TRIAL_INTERVAL_SECONDS)
        assert contact.begin_trial(1.3 + MIN_TRIAL_INTERVAL_SECONDS)

    def test_recent_contact_needs_no_trial(self):
        contact = ServerContact()
        contact.record_reached(1.0)
        assert not contact.begin_trial(1.0 + RECENT_CONTACT_SECONDS / 2)

    def test_host_without_servers_is_not_cut_off(self):
        contact = ServerContact()
        assert contact.begin_trial(1.0)
        assert not contact.end_trial(0, 0, 1.0)

    def test_host_that_has_reached_none_lately_is_not_sure(self):
        """Guards against an idle host that calls a sound server unreachable."""
        contact = ServerContact()
        assert not contact.is_sure(1.0)
        contact.record_reached(1.0)
        assert contact.is_sure(1.0 + SURE_CONTACT_SECONDS / 2)
        assert not contact.is_sure(1.1 + SURE_CONTACT_SECONDS)


class TestChoice:
    def test_servers_of_all_services_come_first(self):
        """Guards against one dark service that is taken for all servers."""
        rows = [server_row(number) for number in range(5)]
        rows[3].load.server = attrs.evolve(rows[3].server, service="other")
        chosen = of_different_services(rows, 2)
        assert {row.server.service for row in chosen} == {"s", "other"}
