"""Positions of the values in a valid JSON document with comments."""

import re
from bisect import bisect_right
from collections.abc import Iterator

import attrs

# Line and column, both from 1.
Position = tuple[int, int]

_TOKEN = re.compile(
    r"""
    (?P<skip>   \s+ | /\*.*?\*/ | //[^\n\r\u2028\u2029]* | \ufeff )
  | (?P<string> "(?:[^"\\]|\\.)*" | '(?:[^'\\]|\\.)*' )
  | (?P<mark>   [{}\[\]:,] )
  | (?P<word>   (?: (?!/[/*]) [^\s{}\[\]:,"'] )+ )
    """,
    re.VERBOSE | re.DOTALL,
)


@attrs.define
class _Level:
    """One array or object that is open at the current token."""

    path: str
    is_object: bool
    key: str = ""
    index: int = 0
    expects_key: bool = True

    def child(self) -> str:
        if not self.is_object:
            return f"{self.path}[{self.index}]"
        return f"{self.path}.{self.key}" if self.path else self.key

    def advance(self) -> None:
        self.index += 1
        self.expects_key = self.is_object


def position_at(text: str, offset: int) -> Position:
    """Return the line and column of a character."""
    before = text[:offset]
    return before.count("\n") + 1, offset - before.rfind("\n")


def positions(text: str) -> list[tuple[str, Position]]:
    """Return the key path and position of every value, in document order."""
    starts = [match.end() for match in re.finditer("\n", text)]
    starts.insert(0, 0)
    found = []
    for path, offset in _values(text):
        line = bisect_right(starts, offset)
        found.append((path, (line, offset - starts[line - 1] + 1)))
    return found


def duplicates(found: list[tuple[str, Position]]) -> Iterator[tuple[str, Position]]:
    """Yield each key path that an earlier key of the same object has too."""
    seen: set[str] = set()
    for path, position in found:
        if path in seen:
            yield path, position
        seen.add(path)


def _values(text: str) -> Iterator[tuple[str, int]]:
    levels: list[_Level] = []
    for match in _TOKEN.finditer(text):
        token, kind = match.group(), match.lastgroup
        if kind == "skip" or token == ":":
            continue
        level = levels[-1] if levels else None
        if token == ",":
            if level:
                level.advance()
        elif kind == "mark" and token in "}]":
            levels.pop()
        elif level and level.is_object and level.expects_key:
            level.key = _key(token)
            level.expects_key = False
        else:
            path = level.child() if level else ""
            yield path, match.start()
            if kind == "mark":
                levels.append(_Level(path, is_object=token == "{"))


def _key(token: str) -> str:
    return token[1:-1] if token[0] in "\"'" else token
