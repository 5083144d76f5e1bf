import itertools

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from masticfork.platform.wire import decode_response_head
from masticfork.relay.response_reader import ResponseReader

HEAD = b"HTTP/1.1 200 OK\r\nX-Masticfork-Attempt-Id: %b\r\n"
INTERIM = b"HTTP/1.1 103 Early Hints\r\nX-Masticfork-Attempt-Id: other\r\n\r\n"


def sized(attempt_id, body):
    return HEAD % attempt_id + b"Content-Length: %d\r\n\r\n%b" % (len(body), body)


def chunked(attempt_id, body):
    chunks = b"%x\r\n%b\r\n0\r\n\r\n" % (len(body), body)
    return HEAD % attempt_id + b"Transfer-Encoding: chunked\r\n\r\n" + chunks


class RecordingSink:
    """Records the parts of a response."""

    def __init__(self):
        self.ids = []
        self.body = b""
        self.ends = 0

    def on_head(self, head):
        self.ids.append(head.attempt_id)

    def on_body(self, data):
        self.body += data

    def on_end(self):
        self.ends += 1


class TestSecondResponses:
    @settings(deadline=None, derandomize=True, max_examples=300)
    @given(
        first=st.sampled_from([sized, chunked]),
        second=st.sampled_from([sized, chunked]),
        interim=st.sampled_from([b"", INTERIM]),
        second_bytes=st.integers(1, 90),
        cuts=st.lists(st.integers(0, 300), max_size=4),
    )
    def test_second_response_is_ignored_wherever_it_is_cut(
        self, first, second, interim, second_bytes, cuts
    ):
        """Guards against a late second response that is read as part of the first."""
        data = interim + first(b"own", b"first") + second(b"own", b"x")[:second_bytes]
        sink = RecordingSink()
        reader = ResponseReader(decode_response_head, sink, is_head_request=False)
        bounds = [0, *sorted(min(cut, len(data)) for cut in cuts), len(data)]
        for start, end in itertools.pairwise(bounds):
            if start < end:
                reader.feed(data[start:end])
        assert (sink.ids, sink.body, sink.ends) == ([b"own"], b"first", 1)
        assert reader.has_extra_bytes
        assert not reader.reusable

    @pytest.mark.parametrize("second", [b"x", sized(b"own", b"second")])
    def test_bytes_after_the_response_to_a_head_request_are_noticed(self, second):
        """Guards against a connection that is used again with a response on it."""
        head = HEAD % b"own" + b"Content-Length: 500\r\n\r\n"
        sink = RecordingSink()
        reader = ResponseReader(decode_response_head, sink, is_head_request=True)
        reader.feed(head + second)
        assert (sink.body, sink.ends) == (b"", 1)
        assert not reader.reusable
