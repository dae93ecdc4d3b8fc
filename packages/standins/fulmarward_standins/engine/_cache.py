"""The prefix cache and its change events, which are delayed and may be lost."""

from collections import OrderedDict
from collections.abc import Callable
from dataclasses import dataclass, field

import xxhash

from fulmarward_standins.engine._spec import EngineSpec

#: Words per cache block.
BLOCK_WORDS = 16

#: Maximum number of events kept for readers.
MAX_KEPT_EVENTS = 1024


def hash_blocks(prompt: str) -> list[str]:
    """Return the hash of each prefix of `prompt` that ends at a block boundary."""
    words = prompt.split()
    ends = range(BLOCK_WORDS, len(words) + 1, BLOCK_WORDS)
    return [xxhash.xxh64_hexdigest(" ".join(words[:end]).encode()) for end in ends]


@dataclass(kw_only=True)
class PrefixCache:
    """LRU cache of prompt prefixes."""

    spec: EngineSpec
    read_clock: Callable[[], float]
    held: OrderedDict[str, None] = field(default_factory=OrderedDict)
    #: Events as (sequence, time from which it is visible, event, prefix).
    events: list[tuple[int, float, str, str]] = field(default_factory=list)
    sequence: int = 0

    def use(self, prompt: str) -> int:
        """Store the prompt's prefixes; return how many of its tokens were cached."""
        blocks = hash_blocks(prompt)
        found = 0
        for block in blocks:
            if block not in self.held:
                break
            found += 1
        for block in blocks:
            if block not in self.held:
                self._publish("stored", block)
            self.held[block] = None
            self.held.move_to_end(block)
        while len(self.held) > self.spec.cache_entries:
            evicted, _ = self.held.popitem(last=False)
            self._publish("evicted", evicted)
        return found * BLOCK_WORDS

    def _publish(self, event: str, prefix: str) -> None:
        self.sequence += 1
        every = self.spec.lose_event_every
        if every and self.sequence % every == 0:
            return
        visible_from = self.read_clock() + self.spec.event_lag_s
        self.events.append((self.sequence, visible_from, event, prefix))
        del self.events[:-MAX_KEPT_EVENTS]

    def list_events(self, after: int) -> list[dict]:
        """Return the events after sequence `after` that are visible by now."""
        now = self.read_clock()
        return [
            {"sequence": sequence, "event": event, "prefix": prefix}
            for sequence, visible_from, event, prefix in self.events
            if sequence > after and visible_from <= now
        ]
