"""Streams and the continuous batch that generates their tokens."""

import asyncio
from collections import Counter
from dataclasses import dataclass, field

from fulmarward_standins._ledger import LedgerEntry
from fulmarward_standins.engine._cache import PrefixCache
from fulmarward_standins.engine._model import (
    choose_word,
    count_answer_tokens,
    hash_position,
    run_layers,
)
from fulmarward_standins.engine._spec import EngineSpec

#: Maximum number of streams kept, so that callers can still resume ended ones.
MAX_KEPT_STREAMS = 20_000

StreamKey = tuple[str, int]


@dataclass(kw_only=True)
class Stream:
    """One response being generated, kept for a while after its end."""

    request: str
    attempt: int
    team: str
    prompt: str
    max_tokens: int
    urgency: int
    #: Texts of the tokens generated so far.
    tokens: list[str] = field(default_factory=list)
    #: Empty while the stream runs, else `stop`, `length`, `cancelled` or `failed`.
    end: str = ""
    #: Prompt tokens found in the prefix cache.
    cached_tokens: int = 0
    #: Set and replaced on every change.
    changed: asyncio.Event = field(default_factory=asyncio.Event)
    #: Open connections by reader name.
    readers: Counter[str] = field(default_factory=Counter)

    def notify_readers(self) -> None:
        """Wake all readers."""
        self.changed.set()
        self.changed = asyncio.Event()


@dataclass(kw_only=True)
class Batch:
    """All streams of one engine and the slots they run in."""

    spec: EngineSpec
    ledger: list[LedgerEntry]
    cache: PrefixCache
    switches: dict
    streams: dict[StreamKey, Stream] = field(default_factory=dict)
    #: Ids cancelled before their stream started, which can no longer start.
    closed: set[StreamKey] = field(default_factory=set)
    waiting: list[Stream] = field(default_factory=list)
    running: dict[StreamKey, int] = field(default_factory=dict)
    tasks: set[asyncio.Task] = field(default_factory=set)

    def record(self, stream: Stream, event: str, position: int = -1) -> None:
        """Record an event of a stream in the ledger."""
        has_layers = event == "ran"
        self.ledger.append(
            LedgerEntry(
                request=stream.request,
                attempt=stream.attempt,
                team=stream.team,
                position=position,
                first_layer=0 if has_layers else -1,
                last_layer=self.spec.model_layers - 1 if has_layers else -1,
                event=event,
            )
        )

    def start(self, stream: Stream) -> None:
        """Queue a stream; it runs once a slot is free, the most urgent first."""
        self.streams[stream.request, stream.attempt] = stream
        self.record(stream, "began")
        self.waiting.append(stream)
        self.waiting.sort(key=lambda item: item.urgency)
        self._fill_slots()
        self._drop_oldest_streams()

    def cancel(self, key: StreamKey, only_reader: str = "") -> str:
        """Cancel a stream, or block its id if unknown; return its previous state.

        With `only_reader` a stream that has another reader is not cancelled.
        """
        stream = self.streams.get(key)
        if stream is None:
            self.closed.add(key)
            return "closed_before_start"
        if stream.end:
            return "ended"
        if only_reader and set(+stream.readers) - {only_reader}:
            return "read"
        self._end(stream, "cancelled")
        return "cancelled"

    def _end(self, stream: Stream, end: str) -> None:
        stream.end = end
        self.record(stream, "cancelled" if end == "cancelled" else "ended")
        if stream in self.waiting:
            self.waiting.remove(stream)
        self.running.pop((stream.request, stream.attempt), None)
        stream.notify_readers()
        self._fill_slots()

    def _fill_slots(self) -> None:
        while self.waiting and len(self.running) < self.spec.slots:
            stream = self.waiting.pop(0)
            self.running[stream.request, stream.attempt] = 1
            task = asyncio.create_task(self._generate(stream))
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)

    async def _generate(self, stream: Stream) -> None:
        prompt_tokens = len(stream.prompt.split())
        stream.cached_tokens = self.cache.use(stream.prompt)
        uncached_tokens = prompt_tokens - stream.cached_tokens
        await asyncio.sleep(uncached_tokens / self.spec.prefill_tokens_per_ms / 1000)
        for position in range(count_answer_tokens(stream.prompt, stream.max_tokens)):
            token_ms = self.switches.get("token_ms", self.spec.token_ms)
            await asyncio.sleep(token_ms / 1000)
            if stream.end:
                return
            if self.switches.get("fail_at_token") == position:
                self._end(stream, "failed")
                return
            value = hash_position(stream.prompt, position)
            last = run_layers(value, 0, self.spec.model_layers)
            self.record(stream, "ran", position)
            stream.tokens.append(choose_word(last))
            stream.notify_readers()
        is_cut = len(stream.tokens) >= stream.max_tokens
        self._end(stream, "length" if is_cut else "stop")

    def _drop_oldest_streams(self) -> None:
        while len(self.streams) > MAX_KEPT_STREAMS:
            key = next(iter(self.streams))
            if not self.streams[key].end:
                return
            del self.streams[key]
