import time

import pytest
from hypothesis import given
from hypothesis import strategies as st

from masticfork.relay.events import MAX_EVENT_BYTES, EventSplitter


def event_stream(count, first=1):
    return b"".join(b"id: %d\ndata: x\n\n" % n for n in range(first, first + count))


class TestEventSplitter:
    @given(st.lists(st.integers(1, 40), max_size=30))
    def test_any_chunking_returns_only_complete_events(self, sizes):
        data, splitter, returned = event_stream(6), EventSplitter(None), b""
        offset = 0
        for size in [*sizes, len(data)]:
            returned += splitter.feed(data[offset : offset + size]).data
            offset += size
            assert returned == b"" or returned.endswith(b"\n\n")
        assert returned == data
        assert splitter.last_event_id == 6

    def test_incomplete_event_is_buffered(self):
        splitter = EventSplitter(None)
        assert splitter.feed(event_stream(1) + b"id: 2\nda").data == event_stream(1)
        assert splitter.partial_event_bytes == len(b"id: 2\nda")
        assert splitter.last_event_id == 1

    @pytest.mark.parametrize("first", [1, 3, 5])
    def test_gap_or_duplicate_in_event_ids_is_rejected(self, first):
        events = EventSplitter(3).feed(event_stream(1, first))
        assert events.data == b""
        assert events.error == f"event id {first} follows 3"

    def test_resumed_stream_continues_after_the_last_event(self):
        splitter = EventSplitter(3)
        splitter.feed(event_stream(2, 4))
        assert splitter.last_event_id == 5

    @pytest.mark.parametrize("first", [2, 99])
    def test_stream_that_lacks_its_first_events_is_rejected(self, first):
        """Guards against a foreign event at the beginning of a stream (MIXED)."""
        events = EventSplitter(None).feed(event_stream(1, first))
        assert events.data == b""
        assert events.error == f"stream begins with event id {first}"

    def test_event_id_is_found_after_other_lines(self):
        splitter = EventSplitter(3)
        splitter.feed(b"x-masticfork-weight-versions: 2\nid: 4\ndata: x\n\n")
        assert splitter.last_event_id == 4

    @pytest.mark.parametrize("id_value", [b"9" * 19, b"9" * 5000, b"-1", b"1.0", b""])
    def test_id_that_is_no_valid_number_is_rejected(self, id_value):
        """Guards against an error of the conversion that leaves a call without end."""
        error = EventSplitter(None).feed(b"id: " + id_value + b"\ndata: x\n\n").error
        assert error is not None
        assert "is no valid number" in error


class TestEventsWithoutEnd:
    def test_event_is_rejected_once_it_is_larger_than_the_limit(self):
        splitter = EventSplitter(None)
        splitter.feed(b"id: 1\ndata: ")
        for _ in range(MAX_EVENT_BYTES // 1000):
            assert splitter.feed(b"x" * 1000).error is None
        assert splitter.feed(b"x" * 1000).error == "event is larger than 1 MiB"

    def test_large_event_in_small_pieces_takes_linear_time(self):
        """Guards against a search of the whole event for every piece (28 s)."""
        splitter = EventSplitter(None)
        splitter.feed(b"id: 1\ndata: ")
        began = time.process_time()
        for _ in range((MAX_EVENT_BYTES - 100) // 16):
            assert splitter.feed(b"x" * 16).error is None
        assert splitter.feed(b"\n\n").data.startswith(b"id: 1\ndata: xxx")
        assert time.process_time() - began < 3.0
