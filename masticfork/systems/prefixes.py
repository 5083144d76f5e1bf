"""Track which prompt prefixes the engines hold in their prefix caches."""

import threading
from collections import OrderedDict, defaultdict
from collections.abc import Iterable

import attrs

from masticfork.core.ids import ServerName, VersionId, digest

# Prefix lengths that engines report, in characters.
PREFIX_LENGTHS = (256, 512, 1024, 2048, 4096)
# Prefixes tracked for each engine; the least recently used are evicted.
MAX_PREFIXES = 4096


@attrs.frozen
class Prefix:
    """The first characters of a prompt, identified by their hash."""

    characters: int
    hash: str


@attrs.frozen
class Prompt:
    """The length of a prompt and its prefixes, shortest first."""

    characters: int
    prefixes: tuple[Prefix, ...] = ()


NO_PROMPT = Prompt(0)


def prompt_of(version: VersionId, text: str) -> Prompt:
    """Return the prompt with the prefix hashes that engines of the version report."""
    lengths = (length for length in PREFIX_LENGTHS if length <= len(text))
    prefixes = (Prefix(n, digest(version, text[:n])) for n in lengths)
    return Prompt(len(text), tuple(prefixes))


class PrefixTable:
    """Cached prefixes by engine, from cache events and own dispatches; thread-safe.

    Cache events may be late or lost, so the table may list prefixes that were evicted
    and miss prefixes that are cached. A wrong entry only costs an extra prefill.
    """

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._held: defaultdict[ServerName, OrderedDict[str, None]]
        self._held = defaultdict(OrderedDict)

    def stored(self, server: ServerName, hashes: Iterable[str]) -> None:
        """Record prefixes that an engine holds, or will hold after reading a prompt."""
        with self._lock:
            held = self._held[server]
            for prefix in hashes:
                held[prefix] = None
                held.move_to_end(prefix)
            while len(held) > MAX_PREFIXES:
                held.popitem(last=False)

    def removed(self, server: ServerName, hashes: Iterable[str]) -> None:
        """Record that an engine no longer holds the prefixes."""
        with self._lock:
            for prefix in hashes:
                self._held[server].pop(prefix, None)

    def held(self, server: ServerName, prompt: Prompt) -> int:
        """Return the characters of the longest prefix that the engine holds."""
        held = self._held.get(server, OrderedDict())
        for prefix in reversed(prompt.prefixes):
            if prefix.hash in held:
                return prefix.characters
        return 0
