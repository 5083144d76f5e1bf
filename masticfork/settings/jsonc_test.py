import json

import pyjson5
import pytest
from hypothesis import given
from hypothesis import strategies as st

from masticfork.settings.jsonc import load_text
from masticfork.settings.positions import positions

KEYS = st.text(st.characters(codec="utf-8", exclude_characters='"\\'), max_size=5)
VALUES = st.recursive(
    st.none() | st.booleans() | st.integers(-9, 9) | st.text(max_size=5),
    lambda child: st.lists(child, max_size=3) | st.dictionaries(KEYS, child),
    max_leaves=8,
)


class TestSyntax:
    @pytest.mark.parametrize(
        ("text", "line", "column"),
        [
            ('{"a": 1,\n // c\n "b" 2}', 3, 6),
            ("[1 2]", 1, 4),
            ("{\n  a: nul}", 2, 6),
            ("", 1, 1),
            ("{a: 1", 1, 1),
        ],
    )
    def test_reports_line_and_column(self, text: str, line: int, column: int):
        (finding,) = load_text(text, "m").unwrap_err()
        assert finding.code == "syntax"
        assert (finding.place.line, finding.place.column) == (line, column)

    def test_rejects_deep_nesting(self):
        (finding,) = load_text("[" * 100_000, "m").unwrap_err()
        assert finding.code == "syntax"

    def test_rejects_duplicate_key(self):
        (finding,) = load_text("{a: {b: 1,\n 'b': 2}, c: {b: 1}}", "m").unwrap_err()
        assert finding.code == "duplicate_key"
        assert str(finding.place) == "m:2:7 a.b"

    @given(st.text(st.sampled_from("{}[]:,\"'/*\\ \n.a1-\u2028")))
    def test_never_raises(self, text: str):
        load_text(text, "m")


class TestPositions:
    def test_missing_path_gets_place_of_nearest_parent(self):
        document = load_text("{a: [1, // c\n {b: /* ] */ 2}]}", "m").unwrap()
        assert str(document.place("a[1].b")) == "m:2:14 a[1].b"
        assert str(document.place("a[1].z.y")) == "m:2:2 a[1].z.y"

    @given(VALUES)
    def test_point_at_first_character_of_values(self, value: object):
        text = json.dumps(value, indent=1)
        lines = text.split("\n")
        for _, (line, column) in positions(text):
            rest = "\n".join([lines[line - 1][column - 1 :], *lines[line:]])
            assert rest[0] in '{["-tfn0123456789'
        assert len(positions(text)) == _count_values(value)
        assert pyjson5.decode(text) == value


def _count_values(value: object) -> int:
    if isinstance(value, dict):
        return 1 + sum(_count_values(child) for child in value.values())
    if isinstance(value, list):
        return 1 + sum(_count_values(child) for child in value)
    return 1
