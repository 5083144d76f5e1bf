from masticfork.systems.evacuations import Evacuations, ZoneChange


class TestEvacuations:
    def test_two_zones_at_once(self):
        evacuations = Evacuations(known=True)
        assert evacuations.begin("a")
        assert evacuations.begin("b")
        assert not evacuations.begin("a")
        assert evacuations.zones == {"a", "b"}
        assert evacuations.end("a")
        assert not evacuations.end("a")
        assert "a" not in evacuations
        assert "b" in evacuations

    def test_listing_replaces_all_and_reports_the_changes(self):
        """Guards against a zone that is not taken back after a lost event."""
        evacuations = Evacuations(known=False)
        evacuations.begin("a")
        changes = evacuations.replace({"b"})
        assert changes == [ZoneChange("a", False), ZoneChange("b", True)]
        assert evacuations.known

    def test_order_that_a_restored_store_has_lost_holds_until_it_is_given_up(self):
        evacuations = Evacuations(known=True)
        evacuations.begin("a")
        evacuations.keep_unlisted(set())
        assert "a" in evacuations
        assert evacuations.end_unlisted() == [ZoneChange("a", False)]

    def test_order_that_is_written_again_holds(self):
        """Guards against requests to a zone whose order the operator has repeated."""
        evacuations = Evacuations(known=True)
        evacuations.begin("a")
        evacuations.keep_unlisted(set())
        evacuations.begin("a")
        assert evacuations.end_unlisted() == []
        assert "a" in evacuations
