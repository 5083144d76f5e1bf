"""Load JSON with comments, and record the position of every value."""

import re
from pathlib import Path
from typing import Any

import attrs
import pyjson5
from result import Err, Ok, Result

from masticfork.core.findings import Finding, Findings, SourceLocation
from masticfork.settings.faults import Fault
from masticfork.settings.positions import Position, duplicates, position_at, positions

# Maximum nesting depth of arrays and objects.
MAX_DEPTH = 32

# Maximum size of a document in characters.
MAX_CHARACTERS = 4 << 20

_ERROR_OFFSET = re.compile(r"\bnear (\d+)")


@attrs.frozen(eq=False)
class Document:
    """A decoded document with the position of each value by key path."""

    value: Any
    source: str
    positions: dict[str, Position]

    def place(self, path: str) -> SourceLocation:
        """Return the place of a key path.

        A path without a position gets that of its nearest parent that has one.
        """
        nearest = path
        while nearest and nearest not in self.positions:
            nearest = nearest[: max(nearest.rfind("."), nearest.rfind("["), 0)]
        line, column = self.positions.get(nearest, (1, 1))
        return SourceLocation(self.source, path, line, column)

    def finding(self, fault: Fault) -> Finding:
        """Return the finding that reports a fault at its place in the document."""
        place = self.place(fault.path)
        return Finding(fault.code, place, fault.message, fault.severity)


def load_text(text: str, source: str) -> Result[Document, Findings]:
    """Decode a text; return syntax errors and duplicate keys as findings."""
    if len(text) > MAX_CHARACTERS:
        message = f"document is longer than {MAX_CHARACTERS} characters"
        return Err((Finding("too_large", SourceLocation(source), message),))
    try:
        value = pyjson5.decode(text, maxdepth=MAX_DEPTH)
    except pyjson5.Json5DecoderException as error:
        return Err((_syntax_finding(text, source, str(error.args[0])),))
    value_positions = positions(text)
    document = Document(value, source, dict(value_positions))
    repeated = tuple(
        Finding(
            "duplicate_key", SourceLocation(source, path, *position), "duplicate key"
        )
        for path, position in duplicates(value_positions)
    )
    return Err(repeated) if repeated else Ok(document)


def load_file(path: Path) -> Result[Document, Findings]:
    """Decode a UTF-8 file; return read and decoding errors as findings."""
    try:
        text = path.read_text("utf-8")
    except OSError as error:
        reason = error.strerror or "cannot be read"
        return Err((Finding("unreadable", SourceLocation(str(path)), reason),))
    except UnicodeDecodeError:
        return Err((Finding("unreadable", SourceLocation(str(path)), "is not UTF-8"),))
    return load_text(text, str(path))


def _syntax_finding(text: str, source: str, message: str) -> Finding:
    match = _ERROR_OFFSET.search(message)
    offset = int(match.group(1)) if match else 0
    # The decoder reports the number of characters read, including the invalid one.
    line, column = position_at(text, max(0, offset - 1))
    cleaned = re.sub(r"b'([^']*)'", r"\1", _ERROR_OFFSET.sub("", message))
    cleaned = re.sub(r"U\+([0-9a-fA-F]{4,6})", _quoted_character, cleaned)
    readable = " ".join(cleaned.replace(" ,", ",").split())
    return Finding("syntax", SourceLocation(source, "", line, column), readable)


def _quoted_character(match: re.Match[str]) -> str:
    return repr(chr(int(match.group(1), 16)))
