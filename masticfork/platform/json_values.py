"""Decodes JSON in which other writers may have placed values that cannot be used."""

import json
import re
from typing import Any

# Containers nested deeper are replaced by null before the text is parsed, if the parser
# cannot follow them.
MAX_PARSED_DEPTH = 64
# Integers of more characters become floats, which may be infinite: Python refuses to
# parse integers of more than 4,300 digits.
MAX_INTEGER_CHARACTERS = 18

_STRINGS_AND_BRACKETS = re.compile(r'"(?:[^"\\]|\\.)*"|[\[\]{}]', re.DOTALL)


def decode_json(data: bytes) -> Any:
    """Decode JSON; raise ValueError if it is malformed.

    Bytes that are not UTF-8 become lone surrogates, which can be told from text.
    """
    text = data.decode("utf-8", "surrogateescape")
    try:
        return _decoder.decode(text)
    except RecursionError:
        return _decoder.decode(_without_deep_values(text))


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
