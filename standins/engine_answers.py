"""Answers of the engine: functions of the version and the messages alone."""

import hashlib
import json
import time
from typing import Any

import attrs

# Prefixes that the cache knows, in characters of the concatenated contents.
PREFIX_CHARACTERS = (256, 512, 1024, 2048, 4096)
CHARACTERS_PER_TOKEN = 4
DIGEST_BYTES = 16
TAG_DIGITS = 8
DRAW_DIGITS = 12
BAD_START = "BAD "
DONE = b"data: [DONE]\n\n"


def content_of(messages: list[dict[str, Any]]) -> str:
    """Concatenate the contents of messages, whole texts or lists of parts."""
    texts = []
    for message in messages:
        content = message.get("content") or ""
        if isinstance(content, list):
            texts += [str(part.get("text", "")) for part in content]
        else:
            texts.append(str(content))
    return "".join(texts)


def digest(version: str, text: str) -> str:
    """Return the hash of a text, or of a prefix of it, under a version."""
    joined = f"{version}\x1f{text}".encode()
    return hashlib.blake2b(joined, digest_size=DIGEST_BYTES).hexdigest()


def prefixes(version: str, text: str) -> dict[int, str]:
    """Return the hashes of the text's prefixes by their length, shortest first."""
    lengths = (k for k in PREFIX_CHARACTERS if k <= len(text))
    return {k: digest(version, text[:k]) for k in lengths}


@attrs.frozen
class AnswerText:
    """An answer's tokens, each with a tag of the version and the messages."""

    tag: str
    bad: bool

    @classmethod
    def of(cls, version: str, text: str, bad_share: float = 0.0) -> "AnswerText":
        """Return the answer to a text; `bad_share` of all texts get a bad one."""
        whole = digest(version, text)
        draw = int(whole[-DRAW_DIGITS:], 16) / 16**DRAW_DIGITS
        return cls(whole[:TAG_DIGITS], draw < bad_share)

    def token(self, offset: int) -> str:
        """Return the token at an offset, from 1."""
        start = BAD_START if self.bad and offset == 1 else ""
        return f"{start}{self.tag}:{offset} "

    def text(self, tokens: int, after: int = 0) -> str:
        """Return the tokens after an offset as one text."""
        return "".join(self.token(i) for i in range(after + 1, tokens + 1))


class Chunks:
    """Server-sent events of one answer."""

    def __init__(self, request_id: str, version: str, answer: AnswerText) -> None:
        self._head = {
            "id": request_id,
            "object": "chat.completion.chunk",
            "created": int(time.time()),
            "model": version,
        }
        self._answer = answer
        # Only the token differs from chunk to chunk: the rest is encoded once.
        start = json.dumps(self._head)[:-1]
        start += ', "choices": [{"index": 0, "delta": {'
        self._start = f"data: {start}".encode()
        self._end = b'"}, "finish_reason": null}]}\n\n'

    def token(self, offset: int) -> bytes:
        """Return the event of one token."""
        role = b'"role": "assistant", ' if offset == 1 else b""
        token = self._answer.token(offset).encode()
        parts = (b"id: %d\n" % offset, self._start, role, b'"content": "', token)
        return b"".join((*parts, self._end))

    def finish(self, reason: str, usage: dict[str, Any]) -> bytes:
        """Return the events that end a stream."""
        choice = {"index": 0, "delta": {}, "finish_reason": reason}
        last = self._head | {"choices": [choice]}
        used = self._head | {"choices": [], "usage": usage}
        events = b"".join(f"data: {json.dumps(x)}\n\n".encode() for x in (last, used))
        return events + DONE
