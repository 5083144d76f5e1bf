"""Requests to the administration API: keys, headers, parameters and bodies."""

import re
from typing import Any
from urllib.parse import parse_qs

import attrs
from result import Err, Ok, Result

from masticfork.admin.backend import Actor, ChangeRequest
from masticfork.admin.problems import Problem, ProblemCode
from masticfork.core.manifest import KeyHash
from masticfork.settings.keys import key_matches
from masticfork.settings.settings import AdminKey

Environ = dict[str, Any]

MAX_BODY_BYTES = 4 << 20
MAX_PAGE_ITEMS = 500
DEFAULT_PAGE_ITEMS = 100

# Submission ids are part of the keys of stored objects.
_SUBMISSION_ID_PATTERN = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]{0,127}")
_NUMBER_PATTERN = re.compile(r"[0-9]{1,18}")


@attrs.frozen
class AdminRequest:
    """An authenticated request with its path parameters."""

    actor: Actor
    environ: Environ = attrs.field(repr=False)
    parameters: dict[str, str]

    def query(self, name: str) -> str | None:
        """Return a query parameter, or its last value if it is repeated."""
        values = parse_qs(self.environ.get("QUERY_STRING", ""), keep_blank_values=True)
        return values[name][-1] if name in values else None

    def number(self, name: str) -> Result[int | None, Problem]:
        """Return a query parameter as a number, or None if it is absent."""
        return parse_number(self.query(name), name)

    def flag(self, name: str) -> bool:
        """Return whether a query parameter is set."""
        return self.query(name) in ("", "1", "true")

    def limit(self) -> Result[int, Problem]:
        """Return the maximum number of items of a page."""
        number = self.number("limit")
        if isinstance(number, Err):
            return number
        value = DEFAULT_PAGE_ITEMS if number.ok_value is None else number.ok_value
        if not 1 <= value <= MAX_PAGE_ITEMS:
            return malformed(f"limit: expected 1 to {MAX_PAGE_ITEMS}")
        return Ok(value)

    def change_request(self) -> Result[ChangeRequest, Problem]:
        """Return the submission id and the actor of a requested change."""
        submission_id = self.environ.get("HTTP_SUBMISSION_ID")
        if submission_id is None:
            return malformed("the header Submission-Id is missing")
        if not _SUBMISSION_ID_PATTERN.fullmatch(submission_id):
            message = "expected 1 to 128 letters, digits, '.', '_' or '-'"
            return malformed(f"Submission-Id: {message}")
        return Ok(ChangeRequest(submission_id, self.actor))

    def expected(self) -> Result[int | None, Problem]:
        """Return the configuration number in If-Match, or None if it is absent."""
        header = self.environ.get("HTTP_IF_MATCH")
        return parse_number(header and header.strip('"'), "If-Match")

    def text(self) -> Result[str, Problem]:
        """Return the body as text."""
        body = self._body()
        if isinstance(body, Err):
            return body
        try:
            return Ok(body.ok_value.decode("utf-8"))
        except UnicodeDecodeError:
            return malformed("the body is not UTF-8")

    def _body(self) -> Result[bytes, Problem]:
        length = self.environ.get("CONTENT_LENGTH") or "0"
        if not _NUMBER_PATTERN.fullmatch(length):
            return malformed("Content-Length: expected a number")
        if int(length) > MAX_BODY_BYTES:
            message = f"the body is longer than {MAX_BODY_BYTES} bytes"
            return Err(Problem(ProblemCode.TOO_LARGE, message))
        return Ok(self.environ["wsgi.input"].read(int(length)))


def parse_number(text: str | None, name: str) -> Result[int | None, Problem]:
    """Parse a decimal number; None stays None."""
    if text is None:
        return Ok(None)
    if not _NUMBER_PATTERN.fullmatch(text):
        return malformed(f"{name}: expected a number")
    return Ok(int(text))


def malformed(detail: str) -> Err[Problem]:
    """Return the error for a request that cannot be parsed."""
    return Err(Problem(ProblemCode.MALFORMED, detail))


def authenticate(
    environ: Environ, keys: tuple[AdminKey, ...]
) -> Result[Actor, Problem]:
    """Return the administrator whose key the request carries."""
    header = environ.get("HTTP_AUTHORIZATION", "")
    scheme, _, key = header.partition(" ")
    if scheme.lower() != "bearer" or not key.strip():
        return Err(
            Problem(ProblemCode.KEY_MISSING, "expected Authorization: Bearer KEY")
        )
    for admin in keys:
        if key_matches(key.strip(), KeyHash(admin.salt, admin.sha256)):
            return Ok(Actor(admin.name, admin.role, tuple(admin.teams)))
    return Err(Problem(ProblemCode.KEY_WRONG, "no administrator has this key"))
