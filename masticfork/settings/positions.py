"""Line and column of each value in a valid JSON document with comments."""

import re
from bisect import bisect_right
from collections.abc import Iterator

import attrs

# Line and column, both counted from 1.
Position = tuple[int, int]

_TOKEN = re.compile(
    r"""
    (?P<skip>   \s+ | /\*.*?\*/ | //[^\n\r\u2028\u2029]* | \ufeff )
  | (?P<string> "(?:[^"\\]|\\.)*" | '(?:[^'\\]|\\.)*' )
  | (?P<punctuation> [{}\[\]:,] )
  | (?P<word>   (?: (?!/[/*]) [^\s{}\[\]:,"'] )+ )
    """,
    re.VERBOSE | re.DOTALL,
)


@attrs.define
class _Container:
    """An array or object that is not yet closed at the current token."""

    path: str
    is_object: bool
    key: str = ""
    index: int = 0
    expects_key: bool = True

    def child_path(self) -> str:
        if not self.is_object:
            return f"{self.path}[{self.index}]"
        return f"{self.path}.{self.key}" if self.path else self.key

    def advance(self) -> None:
        self.index += 1
        self.expects_key = self.is_object


def position_at(text: str, offset: int) -> Position:
    """Return the line and column of the character at an offset."""
    before = text[:offset]
    return before.count("\n") + 1, offset - before.rfind("\n")


def positions(text: str) -> list[tuple[str, Position]]:
    """Return the key path and position of every value, in document order."""
    line_starts = [match.end() for match in re.finditer("\n", text)]
    line_starts.insert(0, 0)
    value_positions = []
    for path, offset in _value_offsets(text):
        line = bisect_right(line_starts, offset)
        value_positions.append((path, (line, offset - line_starts[line - 1] + 1)))
    return value_positions


def duplicates(
    value_positions: list[tuple[str, Position]],
) -> Iterator[tuple[str, Position]]:
    """Yield each value whose key path also occurs earlier: its key is a duplicate."""
    seen: set[str] = set()
    for path, position in value_positions:
        if path in seen:
            yield path, position
        seen.add(path)


def _value_offsets(text: str) -> Iterator[tuple[str, int]]:
    open_containers: list[_Container] = []
    for match in _TOKEN.finditer(text):
        token, kind = match.group(), match.lastgroup
        if kind == "skip" or token == ":":
            continue
        container = open_containers[-1] if open_containers else None
        if token == ",":
            if container:
                container.advance()
        elif kind == "punctuation" and token in "}]":
            open_containers.pop()
        elif container and container.is_object and container.expects_key:
            container.key = _unquote(token)
            container.expects_key = False
        else:
            path = container.child_path() if container else ""
            yield path, match.start()
            if kind == "punctuation":
                open_containers.append(_Container(path, is_object=token == "{"))


def _unquote(token: str) -> str:
    return token[1:-1] if token[0] in "\"'" else token
