"""The journal of one answer, which callers read and the request's task writes."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field

from fulmarward_core.results import Failure


@dataclass(kw_only=True)
class Answer:
    """All events of one answer so far. Event N is `texts[N - 1]`.

    The journal parts generating from reading: a slow or lost caller holds nothing
    up, and a caller that comes back reads on from the event it has.
    """

    #: Id of the request.
    request: str
    #: Name of the team whose answer it is.
    team: str
    #: Texts of the tokens.
    texts: list[str] = field(default_factory=list)
    #: The sealed locator of the stream, empty before it is dispatched.
    locator: str = ""
    #: Empty while it runs, then `stop` or `length`; a failed one has `failure`.
    end: str = ""
    #: Why there is no whole answer.
    failure: Failure | None = None
    #: Events that the caller has and this journal lacks, and the digest of their texts.
    #: A new attempt has to give them again before the answer goes on.
    owed: int = 0
    owed_digest: str = ""
    #: Prompt tokens, as far as known.
    prompt_tokens: int = 0
    #: Whether something of it may have been written to a target.
    is_dispatched: bool = False
    #: The task that writes it.
    task: asyncio.Task | None = None
    #: Whether its caller can come back for it, by event id or key.
    may_return: bool = False
    #: Whether a key holds it: it runs to its end, whoever reads it.
    is_keyed: bool = False
    #: Callers reading now.
    readers: int = 0
    #: When the last reader left, seconds on the steady clock.
    unread_since: float = 0.0
    #: Told the number of tokens that came together.
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
        self._announce()

    def set_locator(self, locator: str) -> None:
        """Say where the stream runs; the readers may now send their first bytes."""
        self.locator = locator
        self._announce()

    def finish(self, end: str) -> None:
        """Say that the answer is whole."""
        self.end = end
        self._announce()

    def fail(self, failure: Failure) -> None:
        """Say why there is no whole answer."""
        self.failure = failure
        self._announce()

    def _announce(self) -> None:
        self.changed.set()
        self.changed = asyncio.Event()
