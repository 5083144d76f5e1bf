"""Decodes JSON in which other writers may have placed values that cannot be used."""

import json
import re
from collections.abc import Callable, Iterator
from typing import Any, TypeVar

# Containers nested deeper are replaced by null before the text is parsed, if the parser
# cannot follow them.
MAX_PARSED_DEPTH = 64
# Integers of more characters become floats, which may be infinite: Python refuses to
# parse integers of more than 4,300 digits.
MAX_INTEGER_CHARACTERS = 18

# Memory of a decoded value beside its text, roughly: an empty list or object, or a
# number with its place in a list.
VALUE_BYTES = 64

T = TypeVar("T")

_STRINGS_AND_BRACKETS = re.compile(r'"(?:[^"\\]|\\.)*"|[\[\]{}]', re.DOTALL)


class JsonReader:
    """Decodes a JSON text value by value, so that not all need be held at once.

    Each method raises ValueError if the text is malformed.
    """

    def __init__(self, text: str) -> None:
        self._text = text
        self._at = 0

    def value(self) -> Any:
        """Return the next value."""
        value, self._at = _decoder.raw_decode(self._text, self._skip_space())
        return value

    def members(self) -> Iterator[str]:
        """Yield the names in the object that follows.

        The value of each is to be read before the next one.
        """
        for _ in self._items("{", "}"):
            name = self.value()
            if not isinstance(name, str):
                raise self._error("a name is expected before")
            self._take(":")
            yield name

    def elements(self) -> Iterator[Any]:
        """Yield the values in the list that follows."""
        for _ in self._items("[", "]"):
            yield self.value()

    def list_and_rest(
        self, name: str, convert: Callable[[Any], T]
    ) -> tuple[list[T] | None, dict[str, Any]]:
        """Return a list in the object that follows, converted, and all other members.

        The list is None if it is missing or of another type. Each element is released
        once it is converted.
        """
        elements: list[T] | None = None
        rest: dict[str, Any] = {}
        for member in self.members():
            if member == name and self.is_list():
                elements = list(map(convert, self.elements()))
            else:
                rest[member] = self.value()
        return elements, rest

    def is_list(self) -> bool:
        """Return whether the next value is a list."""
        return self._text.startswith("[", self._skip_space())

    def end(self) -> None:
        """Require that no value is left."""
        if self._skip_space() != len(self._text):
            raise self._error("further data from")

    def _items(self, opening: str, closing: str) -> Iterator[None]:
        self._take(opening)
        if self._takes(closing):
            return
        yield
        while not self._takes(closing):
            self._take(",")
            yield

    def _take(self, character: str) -> None:
        if not self._takes(character):
            raise self._error(f"{character} is expected at")

    def _error(self, message: str) -> ValueError:
        return ValueError(f"{message} character {self._at}")

    def _takes(self, character: str) -> bool:
        found = self._text.startswith(character, self._skip_space())
        self._at += found
        return found

    def _skip_space(self) -> int:
        match = _SPACE.match(self._text, self._at)
        self._at = self._at if match is None else match.end()
        return self._at


def read_json(data: bytes, read: Callable[[JsonReader], T]) -> T:
    """Read JSON to its end; raise ValueError if it is malformed.

    Bytes that are not UTF-8 become lone surrogates, which can be told from text. `read`
    is called again, without values that are nested too deeply, if there are any.
    """

    def read_all(text: str) -> T:
        reader = JsonReader(text)
        result = read(reader)
        reader.end()
        return result

    text = data.decode("utf-8", "surrogateescape")
    try:
        return read_all(text)
    except RecursionError:
        return read_all(_without_deep_values(text))


def decode_json(data: bytes) -> Any:
    """Decode JSON as a whole; raise ValueError if it is malformed."""
    return read_json(data, JsonReader.value)


def is_larger(value: Any, max_bytes: int) -> bool:
    """Return whether a decoded value takes more memory than so many bytes, roughly."""
    pending = [value]
    size = VALUE_BYTES
    while pending:
        item = pending.pop()
        if isinstance(item, str):
            size += len(item)
        elif isinstance(item, dict | list):
            size += VALUE_BYTES * len(item)
            if size <= max_bytes:
                pending += item
                pending += item.values() if isinstance(item, dict) else ()
        if size > max_bytes:
            return True
    return False


def is_nested_deeper(value: Any, levels: int) -> bool:
    """Return whether lists and objects are nested in more than so many levels."""
    containers = [value]
    for _ in range(levels + 1):
        containers = [item for item in containers if isinstance(item, dict | list)]
        if not containers:
            return False
        containers = [
            child
            for container in containers
            for child in (
                container.values() if isinstance(container, dict) else container
            )
        ]
    return True


def _parse_integer(text: str) -> int | float:
    return int(text) if len(text) <= MAX_INTEGER_CHARACTERS else float(text)


_SPACE = re.compile(r"[ \t\n\r]*")
_decoder = json.JSONDecoder(parse_int=_parse_integer, strict=False)


def _without_deep_values(text: str) -> str:
    """Replace containers that are nested too deeply by null."""
    parts: list[str] = []
    depth = copied_to = 0
    for token in _STRINGS_AND_BRACKETS.finditer(text):
        if token[0] in "[{":
            if depth == MAX_PARSED_DEPTH:
                parts += [text[copied_to : token.start()], "null"]
                copied_to = len(text)
            depth += 1
        elif token[0] in "]}":
            depth -= 1
            if depth == MAX_PARSED_DEPTH:
                copied_to = token.end()
    return "".join([*parts, text[copied_to:]])
