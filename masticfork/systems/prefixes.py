"""What is known of the prompt prefixes that engines hold in their caches."""

import threading
from collections import OrderedDict, defaultdict
from collections.abc import Iterable

import attrs

from masticfork.core.ids import ServerName, VersionId, digest

# Lengths in characters of the prefixes that engines report.
PREFIX_LENGTHS = (256, 512, 1024, 2048, 4096)
# Prefixes remembered for one engine; the least recently used are forgotten.
MAX_PREFIXES = 4096


@attrs.frozen
class Prefix:
    """The beginning of a prompt, by its hash."""

    characters: int
    hash: str


@attrs.frozen
class Prompt:
    """A prompt's size and its prefixes, the shortest first."""

    characters: int
    prefixes: tuple[Prefix, ...] = ()


NO_PROMPT = Prompt(0)


def prompt_of(version: VersionId, text: str) -> Prompt:
    """Return the prefixes of a prompt as the engines of the version hash them."""
    lengths = (length for length in PREFIX_LENGTHS if length <= len(text))
    prefixes = (Prefix(n, digest(version, text[:n])) for n in lengths)
    return Prompt(len(text), tuple(prefixes))


class PrefixTable:
    """Prefixes by engine, from late events and own dispatches; safe for threads.

    Events come late and with gaps, so the table may be wrong both ways: a wrong
    entry costs a prefill, never an answer.
    """

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._held: defaultdict[ServerName, OrderedDict[str, None]]
        self._held = defaultdict(OrderedDict)

    def stored(self, server: ServerName, hashes: Iterable[str]) -> None:
        """Note that an engine holds prefixes, or will once it has the prompt."""
        with self._lock:
            held = self._held[server]
            for prefix in hashes:
                held[prefix] = None
                held.move_to_end(prefix)
            while len(held) > MAX_PREFIXES:
                held.popitem(last=False)

    def removed(self, server: ServerName, hashes: Iterable[str]) -> None:
        """Note that an engine no longer holds prefixes."""
        with self._lock:
            for prefix in hashes:
                self._held[server].pop(prefix, None)

    def held(self, server: ServerName, prompt: Prompt) -> int:
        """Return how many of the prompt's characters the engine holds."""
        held = self._held.get(server, OrderedDict())
        for prefix in reversed(prompt.prefixes):
            if prefix.hash in held:
                return prefix.characters
        return 0
