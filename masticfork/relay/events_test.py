import pytest
from hypothesis import given
from hypothesis import strategies as st

from masticfork.relay.events import BrokenStreamError, EventSplitter


def stream(count, first=1):
    return b"".join(b"id: %d\ndata: x\n\n" % n for n in range(first, first + count))


class TestEventSplitter:
    @given(st.lists(st.integers(1, 40), max_size=30))
    def test_any_cut_gives_whole_events_only(self, sizes):
        data, splitter, passed = stream(6), EventSplitter(None), b""
        at = 0
        for size in [*sizes, len(data)]:
            passed += splitter.feed(data[at : at + size])
            at += size
            assert passed == b"" or passed.endswith(b"\n\n")
        assert passed == data
        assert splitter.last_id == 6

    def test_a_part_of_an_event_is_held(self):
        splitter = EventSplitter(None)
        assert splitter.feed(stream(1) + b"id: 2\nda") == stream(1)
        assert splitter.partial
        assert splitter.last_id == 1

    @pytest.mark.parametrize("first", [1, 3, 5])
    def test_a_gap_or_a_repeat_breaks_the_stream(self, first):
        with pytest.raises(BrokenStreamError):
            EventSplitter(3).feed(stream(1, first))

    def test_a_stream_goes_on_after_the_last_event(self):
        splitter = EventSplitter(3)
        splitter.feed(stream(2, 4))
        assert splitter.last_id == 5

    def test_lines_before_the_identifier_do_not_hide_it(self):
        splitter = EventSplitter(None)
        splitter.feed(b"x-masticfork-weight-versions: 2\nid: 4\ndata: x\n\n")
        assert splitter.last_id == 4
