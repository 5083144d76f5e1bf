"""Tests of JSON with values that other writers have made unusable."""

import json
import time

import pytest
from hypothesis import given
from hypothesis import strategies as st

from masticfork.platform.json_values import (
    MAX_PARSED_DEPTH,
    decode_json,
    is_nested_deeper,
)

JSON_VALUES = st.recursive(
    st.none() | st.booleans() | st.integers(-(10**17), 10**17) | st.text(),
    lambda values: st.lists(values) | st.dictionaries(st.text(), values),
)


class TestDecoding:
    @given(JSON_VALUES)
    def test_usual_json_is_decoded_as_it_is(self, value):
        assert decode_json(json.dumps(value).encode()) == value

    @given(JSON_VALUES)
    def test_values_beside_a_deep_one_are_kept(self, value):
        """Guards against a whole page that is lost for one entry in it."""
        deep = "[" * 5000 + '"]\\"["' + "]" * 5000
        page = f'{{"deep": {deep}, "a": {json.dumps(value)}}}'
        decoded = decode_json(page.encode())
        assert decoded["a"] == value
        assert is_nested_deeper(decoded["deep"], MAX_PARSED_DEPTH - 2)

    @pytest.mark.parametrize("data", [b"", b"[", b"[" * 5000, b'{"a": }', b"[1]]"])
    def test_malformed_json_is_a_value_error(self, data):
        with pytest.raises(ValueError):
            decode_json(data)

    def test_integer_of_too_many_digits_is_no_integer(self):
        decoded = decode_json(b"[" + b"9" * 5000 + b", -" + b"9" * 20 + b", 7]")
        assert decoded == [float("inf"), -1e20, 7]

    def test_bytes_that_are_not_text_can_be_told(self):
        assert not decode_json(b'"\xff"').isprintable()

    def test_deep_value_of_a_megabyte_takes_less_than_a_second(self):
        began = time.monotonic()
        decode_json(b"[" * 500_000 + b"]" * 500_000)
        assert time.monotonic() - began < 1.0


class TestDepth:
    def test_levels_are_counted_in_lists_and_objects(self):
        assert not is_nested_deeper(1, 0)
        assert not is_nested_deeper([{"a": [1]}], 3)
        assert is_nested_deeper([{"a": [1]}], 2)
        assert is_nested_deeper([1, [], {"a": {}}], 2)
