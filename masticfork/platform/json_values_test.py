"""Tests of JSON with values that other writers have made unusable."""

import json
import time

import pytest
from hypothesis import given
from hypothesis import strategies as st

from masticfork.platform.json_values import (
    MAX_PARSED_DEPTH,
    VALUE_BYTES,
    JsonReader,
    decode_json,
    is_larger,
    is_nested_deeper,
    read_json,
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


class TestReader:
    @given(st.dictionaries(st.text(), st.lists(JSON_VALUES)))
    def test_value_by_value_gives_the_same_as_a_whole(self, value):
        def read(reader):
            return {name: list(reader.elements()) for name in reader.members()}

        for text in (json.dumps(value), json.dumps(value, indent=1)):
            assert read_json(text.encode(), read) == value

    @pytest.mark.parametrize(
        "data", [b"", b"[]", b"{", b'{"a"', b'{"a":1', b'{"a":1,}', b"{1:2}", b"{}x"]
    )
    def test_malformed_object_is_a_value_error(self, data):
        with pytest.raises(ValueError):
            read_json(data, lambda reader: [reader.value() for _ in reader.members()])

    @pytest.mark.parametrize("data", [b"{}", b"[1", b"[1,]", b"[1 2]", b"[,1]"])
    def test_malformed_list_is_a_value_error(self, data):
        with pytest.raises(ValueError):
            read_json(data, lambda reader: list(reader.elements()))

    def test_next_value_is_told_to_be_a_list(self):
        assert JsonReader(" \n[1]").is_list()
        assert not JsonReader('"[1]"').is_list()


class TestSize:
    @pytest.mark.parametrize(
        "value", [["x"] * 10, [{}] * 10, {str(n): n for n in range(10)}, "x" * 1000]
    )
    def test_texts_and_the_number_of_values_count(self, value):
        assert not is_larger(value, 11 * VALUE_BYTES + 1000)
        assert is_larger(value, 9 * VALUE_BYTES)

    def test_values_in_containers_count(self):
        value = [[["x" * 100]]]
        assert is_larger(value, 3 * VALUE_BYTES + 100)
        assert not is_larger(value, 4 * VALUE_BYTES + 100)
