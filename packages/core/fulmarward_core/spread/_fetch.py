"""Whom to ask for a newer version, one peer at a time."""

from dataclasses import dataclass

#: Seconds after which a question without an answer is given up. Load: a peer that
#: falls silent; reason: time for several large rows on a link of 20 Mbit/s, and twice
#: within the bound of a configuration.
ASK_S = 1.0

#: Seconds for which a peer that tells others is not asked again. Reason: a large row
#: passes meanwhile.
DEFER_S = 0.1


@dataclass(frozen=True, kw_only=True)
class FetchTimeout:
    """A question that had no answer."""

    #: Whom it went to.
    peer: str
    #: Seconds for which it was open.
    after_s: float


@dataclass(frozen=True, kw_only=True)
class _Question:
    peer: str
    known: int
    asked_at: float


class PendingFetch:
    """The one question for a newer version that is open, and who puts it off.

    Guards against a second row on a link that is still busy with the first: all peers
    tell of a new version within a moment. An answer that brings no newer version
    closes nothing, so that a row which cannot be read is not asked for again at once.
    """

    def __init__(self) -> None:
        self._open: _Question | None = None
        self._deferred_until: dict[str, float] = {}

    def ask(self, peer: str, *, known: int, now: float) -> bool:
        """Return whether to ask `peer` now, given the version that is known here."""
        if self._open is not None and self._open.known == known:
            return False
        if now < self._deferred_until.get(peer, now):
            return False
        self._open = _Question(peer=peer, known=known, asked_at=now)
        return True

    def give_up(self, *, known: int, now: float) -> FetchTimeout | None:
        """Drop the question if it has been open for too long, and return it."""
        if self._open is None or now - self._open.asked_at < ASK_S:
            return None
        return self._drop(known, now)

    def note_deferred(self, peer: str, *, now: float) -> None:
        """A peer tells others first: somebody else may be asked at once."""
        self._deferred_until = {
            name: until for name, until in self._deferred_until.items() if until > now
        }
        self._deferred_until[peer] = now + DEFER_S
        if self._is_open_at(peer):
            self._open = None

    def note_lost(self, peer: str, *, known: int, now: float) -> FetchTimeout | None:
        """Drop the question if it went to `peer`, whose link has ended."""
        return self._drop(known, now) if self._is_open_at(peer) else None

    def _is_open_at(self, peer: str) -> bool:
        return self._open is not None and self._open.peer == peer

    def _drop(self, known: int, now: float) -> FetchTimeout | None:
        """Drop the question; one that brought what is known now was answered."""
        question, self._open = self._open, None
        if question is None or question.known != known:
            return None
        return FetchTimeout(peer=question.peer, after_s=now - question.asked_at)
