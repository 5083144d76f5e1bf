import pytest

from masticfork.core.forwarding import CallerRequest, Dispatch, PromptPart
from masticfork.platform.wire import (
    decode_caller_head,
    decode_response_head,
    encode_request_head,
    error_headers,
)

CALLER_HEADERS = [
    (b"host", b"a.example"),
    (b"x-masticfork-attempt-id", b"9c41"),
    (b"x-masticfork-model", b"*"),
    (b"x-masticfork-token-usage", b"1460,80"),
    (b"x-masticfork-prompt-prefix", b"5c1e:800, 91bd:410"),
    (b"x-masticfork-deadline-ms", b"15000"),
    (b"authorization", b"Bearer key-1"),
    (b"session", b"s-1"),
    (b"x-own", b"kept"),
]


class TestDecodeCallerHead:
    def test_decodes_every_header(self):
        head = decode_caller_head(CALLER_HEADERS, forward_authorization=False)
        assert head.attempt_id == b"9c41"
        assert head.timeout == 15.0
        assert head.key == "key-1"
        assert head.model_chosen_by_router
        assert head.prompt == (PromptPart("5c1e", 800), PromptPart("91bd", 410))
        assert (head.prompt_tokens, head.max_output_tokens) == (1460, 80)
        assert head.session == "s-1"

    @pytest.mark.parametrize(
        "name",
        [
            b"x-masticfork-tenant",
            b"x-masticfork-expect-instance",
            b"x-masticfork-expect-version",
            b"x-masticfork-hold",
            b"x-masticfork-pin-ms",
            b"x-masticfork-kv-backup",
            b"x-masticfork-request-priority",
            b"kv-from",
            b"kv-fetch",
            b"connection",
            b"keep-alive",
            b"transfer-encoding",
            b"content-length",
            b"upgrade",
            b"authorization",
        ],
    )
    def test_drops_system_and_hop_by_hop_headers_and_the_key(self, name):
        head = decode_caller_head(
            [*CALLER_HEADERS, (name, b"forged")], forward_authorization=False
        )
        assert name not in dict(head.forwarded)
        assert dict(head.forwarded)[b"x-own"] == b"kept"

    def test_drops_headers_listed_by_connection_except_the_identity(self):
        listed = (b"connection", b"x-own, x-masticfork-attempt-id")
        fields = dict(decode_caller_head([*CALLER_HEADERS, listed], False).forwarded)
        assert b"x-own" not in fields
        assert fields[b"x-masticfork-attempt-id"] == b"9c41"

    def test_drops_headers_listed_by_any_of_several_connection_headers(self):
        listed = [(b"connection", b"x-own"), (b"connection", b"keep-alive")]
        head = decode_caller_head([*CALLER_HEADERS, *listed], False)
        assert b"x-own" not in dict(head.forwarded)

    @pytest.mark.parametrize(
        ("value", "parts"),
        [(b"", 0), (b"x", 0), (b"a:1,b", 1), (b"a:-1", 0), (b"a:1,b:x,c:3", 1)],
    )
    def test_malformed_part_ends_the_prompt(self, value, parts):
        headers = [(b"x-masticfork-prompt-prefix", value)]
        assert len(decode_caller_head(headers, False).prompt) == parts


class TestEncodeCall:
    def test_sets_system_headers_and_replaces_the_model(self):
        head = decode_caller_head(CALLER_HEADERS, forward_authorization=False)
        request = CallerRequest(b"POST", b"/p/x?q=1", "a.example", head, b"body", 0.0)
        dispatch = Dispatch("i-7", 1.5, "team-1", "small", 2, 12)
        lines = encode_request_head(request, dispatch).decode().split("\r\n")
        assert lines[0] == "POST /p/x?q=1 HTTP/1.1"
        for line in (
            "x-masticfork-model: small",
            "x-masticfork-deadline-ms: 1500",
            "x-masticfork-expect-instance: i-7",
            "x-masticfork-tenant: team-1",
            "x-masticfork-request-priority: 2",
            "last-event-id: 12",
            "content-length: 4",
        ):
            assert lines.count(line) == 1
        assert not any(line.startswith("authorization") for line in lines)


class TestDecodeResponseHead:
    @pytest.mark.parametrize(
        ("status", "headers", "field", "value"),
        [
            (200, [(b"x-masticfork-server-stamp", b"s")], "signed", True),
            (200, [], "signed", False),
            (503, [(b"x-masticfork-not-executed", b"1")], "not_run", True),
            (503, [], "not_run", False),
            (421, [], "not_run", True),
            (200, [(b"x-masticfork-confidence", b"37")], "confidence", 37),
            (200, [(b"x-masticfork-confidence", b"?")], "confidence", None),
            (200, [(b"content-encoding", b"gzip")], "encoded", True),
            (200, [(b"content-encoding", b"identity")], "encoded", False),
            (200, [(b"connection", b"Close")], "closes", True),
            (200, [(b"keep-alive", b"max=3, timeout=4")], "keep_alive", 4.0),
            (200, [(b"content-length", b"12")], "content_length", 12),
            (200, [(b"transfer-encoding", b"chunked")], "chunked", True),
        ],
    )
    def test_decodes_status_and_headers(self, status, headers, field, value):
        head = decode_response_head(status, b"", headers)
        assert getattr(head, field) == value

    @pytest.mark.parametrize("ids", [(b"9c41", b"7f00"), (b"7f00", b"9c41")])
    def test_response_that_names_two_requests_belongs_to_neither(self, ids):
        """Guards against another request's response that is taken for one's own."""
        headers = [(b"x-masticfork-attempt-id", value) for value in ids]
        assert decode_response_head(200, b"", headers).attempt_id not in ids

    @pytest.mark.parametrize(
        ("name", "values", "field", "value"),
        [
            (b"x-masticfork-attempt-id", (b"9c41", b"9c41"), "attempt_id", b"9c41"),
            (b"content-encoding", (b"gzip", b"identity"), "encoded", True),
            (b"connection", (b"close", b"keep-alive"), "closes", True),
        ],
    )
    def test_repeated_header_counts_with_all_its_values(
        self, name, values, field, value
    ):
        """Guards against an encoded body that passes for the server's own."""
        headers = [(name, each) for each in values]
        assert getattr(decode_response_head(200, b"", headers), field) == value


class TestEncodeRefusal:
    def test_sets_retry_after_and_attempt_id(self):
        headers = dict(error_headers(b"9c41", 0.25))
        assert headers[b"retry-after"] == b"0.250"
        assert headers[b"x-masticfork-attempt-id"] == b"9c41"
        assert b"retry-after" not in dict(error_headers(b"", None))
