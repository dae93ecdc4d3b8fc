"""Streams and the batch that generates their tokens."""

import asyncio
from collections import Counter
from dataclasses import dataclass, field

from fulmarward_standins._ledger import LedgerEntry
from fulmarward_standins.engine._cache import PrefixCache
from fulmarward_standins.engine._model import (
    count_answer_tokens,
    make_word,
    run_layers,
    start_position,
)
from fulmarward_standins.engine._spec import EngineSpec

#: Ended streams that are kept for callers that come back.
KEPT_STREAMS = 20_000

StreamKey = tuple[str, int]


@dataclass(kw_only=True)
class Stream:
    """One answer being generated, kept until it is old."""

    request: str
    attempt: int
    team: str
    prompt: str
    most: int
    urgency: int
    #: Texts of the tokens so far.
    tokens: list[str] = field(default_factory=list)
    #: Empty while it runs, else `stop`, `length`, `cancelled` or `failed`.
    end: str = ""
    #: Prompt tokens that the prefix cache saved.
    cached_tokens: int = 0
    #: Set and replaced at every change.
    changed: asyncio.Event = field(default_factory=asyncio.Event)
    #: Open connections by the reader's name.
    readers: Counter[str] = field(default_factory=Counter)

    def announce(self) -> None:
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
    #: Stream ids closed before they began: they never will.
    closed: set[StreamKey] = field(default_factory=set)
    waiting: list[Stream] = field(default_factory=list)
    running: dict[StreamKey, int] = field(default_factory=dict)
    tasks: set[asyncio.Task] = field(default_factory=set)

    def note(self, stream: Stream, event: str, position: int = -1) -> None:
        """Write one event of a stream in the ledger."""
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
        """Take a stream in; it runs when a slot is free, the most urgent first."""
        self.streams[stream.request, stream.attempt] = stream
        self.note(stream, "began")
        self.waiting.append(stream)
        self.waiting.sort(key=lambda item: item.urgency)
        self._fill_slots()
        self._forget_old()

    def cancel(self, key: StreamKey, only_reader: str = "") -> str:
        """End a stream, or close its id for ever; return what state it had.

        With `only_reader` a stream that somebody else reads goes on.
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
        self.note(stream, "cancelled" if end == "cancelled" else "ended")
        if stream in self.waiting:
            self.waiting.remove(stream)
        self.running.pop((stream.request, stream.attempt), None)
        stream.announce()
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
        to_read = prompt_tokens - stream.cached_tokens
        await asyncio.sleep(to_read / self.spec.prefill_tokens_per_ms / 1000)
        for position in range(count_answer_tokens(stream.prompt, stream.most)):
            token_ms = self.switches.get("token_ms", self.spec.token_ms)
            await asyncio.sleep(token_ms / 1000)
            if stream.end:
                return
            if self.switches.get("fail_at_token") == position:
                self._end(stream, "failed")
                return
            value = start_position(stream.prompt, position)
            last = run_layers(value, 0, self.spec.model_layers)
            self.note(stream, "ran", position)
            stream.tokens.append(make_word(last))
            stream.announce()
        is_cut = len(stream.tokens) >= stream.most
        self._end(stream, "length" if is_cut else "stop")

    def _forget_old(self) -> None:
        while len(self.streams) > KEPT_STREAMS:
            key = next(iter(self.streams))
            if not self.streams[key].end:
                return
            del self.streams[key]
