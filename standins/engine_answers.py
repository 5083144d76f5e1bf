"""Answers of the engine, determined only by the version and the messages."""

import hashlib
import json
import time
from typing import Any

import attrs

# Lengths of the cached prefixes, in characters of the concatenated contents.
PREFIX_CHARACTERS = (256, 512, 1024, 2048, 4096)
CHARACTERS_PER_TOKEN = 4
DIGEST_BYTES = 16
# Hex digits of the digest that form the tag, and those that decide if it is bad.
TAG_DIGITS = 8
DRAW_DIGITS = 12
BAD_PREFIX = "BAD "
DONE = b"data: [DONE]\n\n"


def joined_content(messages: list[dict[str, Any]]) -> str:
    """Concatenate the contents of messages, each a string or a list of parts."""
    texts = []
    for message in messages:
        content = message.get("content") or ""
        if isinstance(content, list):
            texts += [str(part.get("text", "")) for part in content]
        else:
            texts.append(str(content))
    return "".join(texts)


def digest(version: str, text: str) -> str:
    """Return the hex hash of a version and a text or text prefix."""
    joined = f"{version}\x1f{text}".encode()
    return hashlib.blake2b(joined, digest_size=DIGEST_BYTES).hexdigest()


def prefix_digests(version: str, text: str) -> dict[int, str]:
    """Return the hashes of the cacheable prefixes by length, shortest first."""
    lengths = (k for k in PREFIX_CHARACTERS if k <= len(text))
    return {k: digest(version, text[:k]) for k in lengths}


@attrs.frozen
class AnswerText:
    """The tokens of an answer.

    Each token carries a tag derived from the version and messages, and its offset, so
    that tests can check where it comes from.
    """

    tag: str
    bad: bool

    @classmethod
    def of(cls, version: str, text: str, bad_share: float = 0.0) -> "AnswerText":
        """Return the answer to a text; for a `bad_share` of all texts it is bad."""
        text_digest = digest(version, text)
        draw = int(text_digest[-DRAW_DIGITS:], 16) / 16**DRAW_DIGITS
        return cls(text_digest[:TAG_DIGITS], draw < bad_share)

    def token(self, offset: int) -> str:
        """Return the token at an offset; the first has offset 1."""
        prefix = BAD_PREFIX if self.bad and offset == 1 else ""
        return f"{prefix}{self.tag}:{offset} "

    def text(self, tokens: int, after: int = 0) -> str:
        """Return the tokens from `after + 1` to `tokens`, concatenated."""
        return "".join(self.token(i) for i in range(after + 1, tokens + 1))


class EventEncoder:
    """Encodes one answer as server-sent events."""

    def __init__(self, request_id: str, version: str, answer: AnswerText) -> None:
        self._envelope = {
            "id": request_id,
            "object": "chat.completion.chunk",
            "created": int(time.time()),
            "model": version,
        }
        self._answer = answer
        # Only the offset and the token differ between chunks; encode the rest once.
        start = json.dumps(self._envelope)[:-1]
        start += ', "choices": [{"index": 0, "delta": {'
        self._token_start = f"data: {start}".encode()
        self._token_end = b'"}, "finish_reason": null}]}\n\n'

    def token(self, offset: int) -> bytes:
        """Return the event for one token."""
        role = b'"role": "assistant", ' if offset == 1 else b""
        token = self._answer.token(offset).encode()
        parts = (b"id: %d\n" % offset, self._token_start, role, b'"content": "', token)
        return b"".join((*parts, self._token_end))

    def finish(self, reason: str, usage: dict[str, Any]) -> bytes:
        """Return the events that end a stream: finish reason, usage and `[DONE]`."""
        choice = {"index": 0, "delta": {}, "finish_reason": reason}
        final = self._envelope | {"choices": [choice]}
        usage_chunk = self._envelope | {"choices": [], "usage": usage}
        events = b"".join(
            f"data: {json.dumps(x)}\n\n".encode() for x in (final, usage_chunk)
        )
        return events + DONE
