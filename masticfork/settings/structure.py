"""Convert decoded documents to records with cattrs; report all faults as findings."""

import enum
import math
from collections.abc import Callable, Iterator
from typing import Any, TypeVar, get_args

import attrs
import cattrs
from cattrs import errors
from cattrs.cols import homogenous_tuple_structure_factory
from cattrs.gen import make_dict_structure_fn
from result import Err, Ok, Result

from masticfork.core.findings import Findings
from masticfork.settings.faults import Fault
from masticfork.settings.jsonc import Document

T = TypeVar("T")
Hook = Callable[[Any, Any], Any]


class InvalidValueError(ValueError):
    """A field's value is invalid; raised by cattrs hooks, caught in `structure`."""

    def __init__(self, code: str, message: str) -> None:
        super().__init__(message)
        self.code = code


def make_converter() -> cattrs.Converter:
    """Return a converter that coerces no types and rejects unknown keys."""
    converter = cattrs.Converter(detailed_validation=True, forbid_extra_keys=True)
    for kind, hook in _PRIMITIVES.items():
        converter.register_structure_hook(kind, hook)
    converter.register_structure_hook_func(_is_enum, _structure_enum)
    converter.register_structure_hook_factory(attrs.has, _record_hook)
    converter.register_structure_hook_factory(_is_tuple, _tuple_hook)
    return converter


def structure(
    document: Document, record: type[T], converter: cattrs.Converter
) -> Result[T, Findings]:
    """Convert the document to a record, or return every fault with its place."""
    try:
        return Ok(converter.structure(document.value, record))
    except Exception as error:
        return Err(tuple(map(document.finding, _faults_of(error, ""))))


def require_text(value: Any, _: Any = None) -> str:
    """Return the value if it is a string; raise InvalidValueError otherwise."""
    if not isinstance(value, str):
        raise _wrong_type("a string", value)
    return value


def require_integer(value: Any, _: Any = None) -> int:
    """Return the value if it is an integer; raise InvalidValueError otherwise."""
    if isinstance(value, bool) or not isinstance(value, int):
        raise _wrong_type("an integer", value)
    return value


def require_number(value: Any, _: Any = None) -> float:
    """Return a finite number as a float; raise InvalidValueError otherwise."""
    if isinstance(value, bool) or not isinstance(value, int | float):
        raise _wrong_type("a number", value)
    try:
        number = float(value)
    except OverflowError:
        number = math.inf
    if not math.isfinite(number):
        raise InvalidValueError("value", "expected a finite number")
    return number


def require_boolean(value: Any, _: Any = None) -> bool:
    """Return the value if it is a boolean; raise InvalidValueError otherwise."""
    if not isinstance(value, bool):
        raise _wrong_type("true or false", value)
    return value


_PRIMITIVES: dict[type, Hook] = {
    str: require_text,
    int: require_integer,
    float: require_number,
    bool: require_boolean,
}


def _wrong_type(expected: str, value: Any) -> InvalidValueError:
    type_names = {
        dict: "an object",
        list: "an array",
        str: "a string",
        type(None): "null",
    }
    type_names |= {bool: "a boolean", int: "an integer", float: "a number"}
    found_type = type_names.get(type(value), type(value).__name__)
    return InvalidValueError("type", f"expected {expected}, found {found_type}")


def _is_enum(kind: Any) -> bool:
    return isinstance(kind, type) and issubclass(kind, enum.Enum)


def _structure_enum(value: Any, kind: type[enum.Enum]) -> enum.Enum:
    for member in kind:
        if member.value == value:
            return member
    choices = ", ".join(str(member.value) for member in kind)
    raise InvalidValueError("value", f"expected one of {choices}")


def _record_hook(record: type, converter: cattrs.Converter) -> Hook:
    inner: Hook = make_dict_structure_fn(record, converter)

    def hook(value: Any, kind: Any) -> Any:
        if not isinstance(value, dict):
            raise _wrong_type("an object", value)
        return inner(value, kind)

    return hook


def _is_tuple(kind: Any) -> bool:
    return getattr(kind, "__origin__", None) is tuple and get_args(kind)[-1] is ...


def _tuple_hook(kind: Any, converter: cattrs.Converter) -> Hook:
    inner: Hook = homogenous_tuple_structure_factory(kind, converter)

    def hook(value: Any, target: Any) -> Any:
        if not isinstance(value, list):
            raise _wrong_type("an array", value)
        return inner(value, target)

    return hook


def _faults_of(error: Exception, path: str) -> Iterator[Fault]:
    """Yield every fault in a cattrs error, which may be a nested exception group."""
    if isinstance(error, errors.IterableValidationError):
        items, others = error.group_exceptions()
        for inner, item in items:
            yield from _faults_of(inner, f"{path}[{item.index}]")
    elif isinstance(error, errors.ClassValidationError):
        fields, others = error.group_exceptions()
        for inner, field_note in fields:
            yield from _faults_of(inner, _field_path(path, field_note.name, inner))
    else:
        yield from _leaf_faults(error, path)
        return
    for inner in others:
        yield from _faults_of(inner, path)


def _field_path(path: str, name: str, error: Exception) -> str:
    if isinstance(error, KeyError):
        # A missing key has no position: report it at the object.
        return path
    return f"{path}.{name}" if path else name


def _leaf_faults(error: Exception, path: str) -> Iterator[Fault]:
    if isinstance(error, errors.ForbiddenExtraKeysError):
        for key in sorted(error.extra_fields):
            key_path = f"{path}.{key}" if path else key
            yield Fault("unknown_key", key_path, f"unknown key {key!r}")
    elif isinstance(error, KeyError):
        yield Fault("missing_key", path, f"key {error.args[0]!r} is missing")
    elif isinstance(error, InvalidValueError):
        yield Fault(error.code, path, str(error))
    else:
        yield Fault("value", path, str(error) or type(error).__name__)
