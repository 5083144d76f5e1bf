import pytest

from masticfork.core.framing import MAX_RESPONSE_HEAD_BYTES
from masticfork.platform.wire import decode_response_head
from masticfork.relay.response_reader import (
    MalformedResponseError,
    ResponseReader,
)

PIECE_BYTES = 1000
CHUNKED_HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
UNFRAMED_HEAD = b"HTTP/1.1 200 OK\r\n\r\n"


class RecordingSink:
    """Records the parts of a response."""

    def __init__(self):
        self.statuses, self.body, self.pieces, self.ends = [], b"", 0, 0

    def on_head(self, head):
        self.statuses.append(head.status)

    def on_body(self, data):
        assert data
        self.body += data
        self.pieces += 1

    def on_end(self):
        self.ends += 1


def make_reader(is_head_request=False):
    sink = RecordingSink()
    return ResponseReader(decode_response_head, sink, is_head_request), sink


def feed_without_end(reader, start, repeated, max_bytes):
    """Feed data until the reader rejects it; fail if it takes more than `max_bytes`."""
    piece = repeated * (PIECE_BYTES // len(repeated) + 1)
    with pytest.raises(MalformedResponseError) as raised:
        reader.feed(start)
        fed = len(start)
        while fed < max_bytes:
            reader.feed(piece)
            fed += len(piece)
    return str(raised.value)


class TestResponsesWithoutEnd:
    @pytest.mark.parametrize(
        ("start", "repeated"),
        [
            (b"", b"x"),
            (b"", b"\r\n"),
            (b"HTTP/1.1 200 ", b"x"),
            (b"HTTP/1.1 200 OK\r\nA: ", b"x"),
            (b"HTTP/1.1 200 OK\r\n", b"x"),
            (b"HTTP/1.1 200 OK\r\n", b"A: b\r\n"),
            (b"", b"HTTP/1.1 100 Continue\r\n\r\n"),
            (b"", b"HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n"),
        ],
    )
    def test_head_without_end_is_rejected(self, start, repeated):
        """Guards against a head that is read, and kept, until the caller's deadline."""
        reader, sink = make_reader()
        limit = MAX_RESPONSE_HEAD_BYTES + 2 * PIECE_BYTES
        feed_without_end(reader, start, repeated, limit)
        assert sink.statuses == []

    def test_head_of_the_largest_size_is_accepted(self):
        reader, sink = make_reader()
        start = b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nA: "
        reader.feed(start)
        reader.feed(b"x" * (MAX_RESPONSE_HEAD_BYTES - len(start) - 4))
        reader.feed(b"\r\n\r\n")
        assert sink.statuses == [200]

    @pytest.mark.parametrize(
        ("start", "repeated"),
        [
            (b"5;", b"x"),
            (b"5;", b"a=b;"),
            (b"", b"0"),
            (b"0\r\n", b"A: b\r\n"),
            (b"0\r\nA: ", b"x"),
        ],
    )
    def test_framing_without_end_is_rejected(self, start, repeated):
        """Guards against chunk headers and trailers that are read without bound."""
        reader, sink = make_reader()
        feed_without_end(reader, CHUNKED_HEAD + start, repeated, 1 << 18)
        assert sink.statuses == [200]
        assert (sink.body, sink.ends) == (b"", 0)

    def test_long_framing_of_each_chunk_is_rejected(self):
        reader, _ = make_reader()
        chunk = b"1;" + b"x" * 200 + b"\r\ny\r\n"
        feed_without_end(reader, CHUNKED_HEAD, chunk, 1 << 20)

    @pytest.mark.parametrize("chunk", [b"1\r\nx\r\n", b"000001\r\nx\r\n"])
    def test_body_of_many_small_chunks_is_accepted(self, chunk):
        reader, sink = make_reader()
        reader.feed(CHUNKED_HEAD)
        for _ in range(300):
            reader.feed(chunk * 1000)
        reader.feed(b"0\r\n\r\n")
        assert sink.ends == 1
        assert len(sink.body) == 300_000

    def test_small_chunks_of_one_read_are_passed_on_together(self):
        """Guards against a call for each byte, which keeps other requests waiting."""
        reader, sink = make_reader()
        reader.feed(CHUNKED_HEAD + b"1\r\nx\r\n" * 10_000 + b"0\r\n\r\n")
        assert (len(sink.body), sink.pieces, sink.ends) == (10_000, 1, 1)

    def test_body_ahead_of_an_error_is_passed_on(self):
        reader, sink = make_reader()
        with pytest.raises(MalformedResponseError):
            reader.feed(CHUNKED_HEAD + b"3\r\nabc\r\nno chunk")
        assert sink.body == b"abc"

    def test_switch_of_protocols_is_rejected(self):
        """Guards against an error of the parser that leaves the call without an end."""
        reader, _ = make_reader()
        with pytest.raises(MalformedResponseError):
            reader.feed(
                b"HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\n"
                b"Connection: upgrade\r\n\r\nabc"
            )


class TestResponsesWithoutLength:
    def test_response_is_complete_at_the_end_of_the_connection(self):
        reader, sink = make_reader()
        reader.feed(UNFRAMED_HEAD + b"ab")
        reader.feed(b"c")
        assert (sink.body, sink.ends, reader.done) == (b"abc", 0, False)
        assert reader.feed_end()
        assert sink.ends == 1

    @pytest.mark.parametrize(
        "data",
        [
            b"",
            b"HTTP/1.1 200 OK\r\n",
            b"HTTP/1.1 100 Continue\r\n\r\n",
            b"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nab",
            CHUNKED_HEAD + b"3\r\nabc\r\n",
        ],
    )
    def test_other_responses_are_not(self, data):
        reader, sink = make_reader()
        reader.feed(data)
        assert not reader.feed_end()
        assert sink.ends == 0

    @pytest.mark.parametrize(
        ("data", "is_head_request"),
        [
            (UNFRAMED_HEAD, True),
            (b"HTTP/1.1 204 No Content\r\n\r\n", False),
            (b"HTTP/1.1 304 Not Modified\r\nContent-Length: 9\r\n\r\n", False),
        ],
    )
    def test_response_without_body_is_complete_with_its_head(
        self, data, is_head_request
    ):
        reader, sink = make_reader(is_head_request)
        reader.feed(data)
        assert (reader.done, sink.ends, sink.body) == (True, 1, b"")
        assert reader.reusable
