"""The in-memory event log of one answer."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field

from fulmarward_core.results import Failure


@dataclass(kw_only=True)
class Answer:
    """The events of one answer so far. Event N is `texts[N - 1]`.

    The log decouples generation from reading: a slow or disconnected caller blocks
    nothing, and a caller that returns continues after its last event.
    """

    #: Request id.
    request: str
    #: Name of the team whose answer it is.
    team: str
    texts: list[str] = field(default_factory=list)
    #: The sealed locator of the stream; empty until an attempt has one.
    locator: str = ""
    #: Empty while it runs, then `stop` or `length`; stays empty on failure.
    end: str = ""
    #: Why the answer is not complete, if it failed.
    failure: Failure | None = None
    #: Number of events that the caller has, if this log lacks some of them, else 0; and
    #: the digest of their texts. A new attempt must reproduce them before the answer
    #: continues.
    expected_events: int = 0
    expected_digest: str = ""
    #: Prompt tokens, as far as known.
    prompt_tokens: int = 0
    #: Whether any part of the request may have been sent to a target.
    is_dispatched: bool = False
    #: The task that writes it.
    task: asyncio.Task | None = None
    #: Whether the caller can resume it, by event id or idempotency key.
    is_resumable: bool = False
    #: Whether this is the answer at the home of an idempotency key: it then runs to its
    #: end even without readers.
    has_idempotency_key: bool = False
    #: Number of callers reading now.
    readers: int = 0
    #: When the last reader left, in seconds on the monotonic clock.
    unread_since: float = 0.0
    #: Called with the number of tokens in each batch.
    on_texts: Callable[[int], None] | None = None
    #: Set and replaced at every change.
    changed: asyncio.Event = field(default_factory=asyncio.Event)

    @property
    def is_over(self) -> bool:
        """Whether no more events will come."""
        return bool(self.end) or self.failure is not None

    def add_texts(self, texts: list[str]) -> None:
        """Append a batch of events and wake the readers."""
        self.texts.extend(texts)
        if self.on_texts is not None:
            self.on_texts(len(texts))
        self._wake_readers()

    def set_locator(self, locator: str) -> None:
        """Set the stream's locator, after which readers may send their first bytes."""
        self.locator = locator
        self._wake_readers()

    def finish(self, end: str) -> None:
        """Mark the answer as complete."""
        self.end = end
        self._wake_readers()

    def fail(self, failure: Failure) -> None:
        """End the answer with a failure."""
        self.failure = failure
        self._wake_readers()

    def _wake_readers(self) -> None:
        self.changed.set()
        self.changed = asyncio.Event()
