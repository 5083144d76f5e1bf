"""Load JSON with comments, with the place of every value."""

import re
from pathlib import Path
from typing import Any

import attrs
import pyjson5
from result import Err, Ok, Result

from masticfork.core.findings import Finding, Findings, Place
from masticfork.settings.faults import Fault
from masticfork.settings.positions import Position, duplicates, position_at, positions

# Deepest nesting of arrays and objects that is read.
MAX_DEPTH = 32

# Greatest size of a document in characters.
MAX_CHARACTERS = 4 << 20

_OFFSET = re.compile(r"\bnear (\d+)")


@attrs.frozen(eq=False)
class Document:
    """A decoded document that knows where each of its values stands."""

    value: Any
    source: str
    positions: dict[str, Position]

    def place(self, path: str) -> Place:
        """Return the place of a key path, or of its nearest known parent."""
        known = path
        while known and known not in self.positions:
            known = known[: max(known.rfind("."), known.rfind("["), 0)]
        line, column = self.positions.get(known, (1, 1))
        return Place(self.source, path, line, column)

    def finding(self, fault: Fault) -> Finding:
        """Give a fault its place."""
        place = self.place(fault.path)
        return Finding(fault.code, place, fault.message, fault.severity)


def load_text(text: str, source: str) -> Result[Document, Findings]:
    """Decode a text; syntax errors and duplicate keys are findings."""
    if len(text) > MAX_CHARACTERS:
        message = f"longer than {MAX_CHARACTERS} characters"
        return Err((Finding("too_large", Place(source), message),))
    try:
        value = pyjson5.decode(text, maxdepth=MAX_DEPTH)
    except pyjson5.Json5DecoderException as error:
        return Err((_syntax_finding(text, source, str(error.args[0])),))
    found = positions(text)
    document = Document(value, source, dict(found))
    repeated = tuple(
        Finding("duplicate_key", Place(source, path, *position), "key given twice")
        for path, position in duplicates(found)
    )
    return Err(repeated) if repeated else Ok(document)


def load_file(path: Path) -> Result[Document, Findings]:
    """Decode a UTF-8 file; one that cannot be read is a finding."""
    try:
        text = path.read_text("utf-8")
    except OSError as error:
        reason = error.strerror or "cannot be read"
        return Err((Finding("unreadable", Place(str(path)), reason),))
    except UnicodeDecodeError:
        return Err((Finding("unreadable", Place(str(path)), "is not UTF-8"),))
    return load_text(text, str(path))


def _syntax_finding(text: str, source: str, message: str) -> Finding:
    match = _OFFSET.search(message)
    offset = int(match.group(1)) if match else 0
    # The decoder counts the characters read, including the one that it refuses.
    line, column = position_at(text, max(0, offset - 1))
    plain = re.sub(r"b'([^']*)'", r"\1", _OFFSET.sub("", message))
    plain = re.sub(r"U\+([0-9a-fA-F]{4,6})", _character, plain)
    readable = " ".join(plain.replace(" ,", ",").split())
    return Finding("syntax", Place(source, "", line, column), readable)


def _character(match: re.Match[str]) -> str:
    return repr(chr(int(match.group(1), 16)))
