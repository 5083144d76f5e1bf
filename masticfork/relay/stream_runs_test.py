"""Streams of which a server breaks off and another one generates the rest."""

import pytest
from hypothesis import example, given, settings
from hypothesis import strategies as st

from masticfork.core.routes import RouteKind
from masticfork.relay.exchange import Exchange
from masticfork.relay.server_call import CallFailure, Stage
from standins.fake_exchange import (
    FakeCaller,
    FakeHost,
    caller_request,
    response_head,
)
from standins.typed_routes import typed_route

EVENT_COUNT = 5


def event_stream(first, last=EVENT_COUNT, text="x"):
    return b"".join(
        b"id: %d\ndata: %b\n\n" % (n, text.encode()) for n in range(first, last + 1)
    )


class StreamExchange:
    """An exchange on a resumable streaming route whose servers the test plays."""

    def __init__(self, last_event_id=None):
        self.host, self.caller = FakeHost(), FakeCaller()
        self.last_event_id = last_event_id
        self.exchange = Exchange(
            host=self.host,
            caller=self.caller,
            request=caller_request(last_event_id=last_event_id),
            route=typed_route(
                RouteKind.STREAM, resumable=True, timeout=9.0, max_attempts=4
            ),
            service="s",
            team=None,
            priority=1,
            deadline=9.0,
        )
        self.exchange.start()

    @property
    def call(self):
        return self.host.calls[-1]

    @property
    def next_event(self):
        """Return the first event that the current call asks for."""
        return 1 + (self.call.request.resume_after or self.last_event_id or 0)

    def begin_response(self, **head):
        self.call.stage = Stage.ANSWERING
        self.exchange.on_head(response_head(chunked=True, content_length=None, **head))

    def break_connection(self):
        call = self.call
        call.open = False
        self.exchange.on_failed(CallFailure(call.stage, "broken"))


class TestRunsOfAStream:
    @settings(deadline=None, derandomize=True, max_examples=300)
    @given(
        cuts=st.lists(st.integers(0, 60), min_size=1, max_size=3),
        chunk_size=st.integers(1, 40),
        last_event_id=st.sampled_from([None, 2]),
    )
    @example(cuts=[8], chunk_size=40, last_event_id=None)
    def test_broken_runs_leave_every_event_whole_and_once(
        self, cuts, chunk_size, last_event_id
    ):
        """Guards against a part of an event that another run continues (MIXED)."""
        stream = StreamExchange(last_event_id)
        first = stream.next_event
        for cut in [*cuts, None]:
            # Each run words its events in its own way.
            data = event_stream(stream.next_event, text=f"run {len(stream.host.calls)}")
            stream.begin_response()
            for at in range(0, len(data[:cut]), chunk_size):
                stream.exchange.on_body(data[:cut][at : at + chunk_size])
            if cut is None:
                stream.exchange.on_end()
            else:
                stream.break_connection()
        received = stream.caller.body.split(b"\n\n")
        assert received.pop() == b""
        assert [e.split(b"\ndata: run ")[0] for e in received] == [
            b"id: %d" % n for n in range(first, EVENT_COUNT + 1)
        ]
        assert all(e.count(b"data") == 1 for e in received)
        assert stream.caller.final_responses == 1

    def test_events_ahead_of_an_invalid_one_are_passed_on(self):
        """Guards against a run resumed after events that no caller has received."""
        stream = StreamExchange()
        stream.begin_response()
        stream.exchange.on_body(event_stream(1, 2) + event_stream(4, 5))
        assert stream.call.request.resume_after == 2
        assert stream.caller.body == event_stream(1, 2)
        stream.begin_response()
        stream.exchange.on_body(event_stream(3))
        stream.exchange.on_end()
        assert stream.caller.body == event_stream(1)

    @pytest.mark.parametrize("stray", [b"data: other\n\n", b"id: x\ndata: other\n\n"])
    def test_event_without_a_valid_id_breaks_the_run(self, stray):
        """Guards against foreign data that is passed on as an event (MIXED)."""
        stream = StreamExchange()
        stream.begin_response()
        stream.exchange.on_body(event_stream(1, 1) + stray)
        assert stream.call.request.resume_after == 1
        assert stream.caller.body == event_stream(1, 1)

    @pytest.mark.parametrize("framing", [b"", b"17\r\n"])
    def test_response_to_another_request_within_a_stream_breaks_the_run(self, framing):
        """Guards against its events, passed on where their ids fit (MIXED)."""
        stream = StreamExchange()
        stream.begin_response()
        late_head = b"HTTP/1.1 200 OK\r\nX-Masticfork-Attempt-Id: a-2\r\n\r\n"
        other = late_head + framing + event_stream(3, 3, text="other")
        stream.exchange.on_body(event_stream(1, 2) + other)
        assert stream.caller.body == event_stream(1, 2)
        assert stream.call.request.resume_after == 2
