"""Which peer to fetch a newer version from, one at a time."""

from dataclasses import dataclass

#: Seconds after which a fetch without an answer is given up: several large snapshots
#: pass a small link meanwhile.
FETCH_TIMEOUT_S = 1.0

#: Seconds for which a peer that sends to others first is not asked again.
DEFER_DURATION_S = 0.1


@dataclass(frozen=True, kw_only=True)
class FetchTimeout:
    """A fetch that had no answer."""

    #: Name of the peer that was asked.
    peer: str
    #: Seconds for which it was pending.
    after_s: float


@dataclass(frozen=True, kw_only=True)
class _Fetch:
    peer: str
    known: int
    sent_at: float


class PendingFetch:
    """The one fetch of a newer version that is pending, and which peers deferred it.

    Guards against a second snapshot on a link that is still busy with the first: all
    peers report a new version within a moment. An answer without a newer version ends
    nothing, so that a snapshot which cannot be read is not fetched again at once.
    """

    def __init__(self) -> None:
        self._open: _Fetch | None = None
        self._deferred_until: dict[str, float] = {}

    def ask(self, peer: str, *, known: int, now: float) -> bool:
        """Return whether to ask `peer` now, given the version that is known here."""
        if self._open is not None and self._open.known == known:
            return False
        if now < self._deferred_until.get(peer, now):
            return False
        self._open = _Fetch(peer=peer, known=known, sent_at=now)
        return True

    def give_up(self, *, known: int, now: float) -> FetchTimeout | None:
        """Drop the fetch if it has been pending for too long, and return it."""
        if self._open is None or now - self._open.sent_at < FETCH_TIMEOUT_S:
            return None
        return self._drop(known, now)

    def note_deferred(self, peer: str, *, now: float) -> None:
        """A peer sends to others first: another one may be asked at once."""
        self._deferred_until = {
            name: until for name, until in self._deferred_until.items() if until > now
        }
        self._deferred_until[peer] = now + DEFER_DURATION_S
        if self._is_open_at(peer):
            self._open = None

    def note_lost(self, peer: str, *, known: int, now: float) -> FetchTimeout | None:
        """Drop the fetch if it went to `peer`, whose link has ended."""
        return self._drop(known, now) if self._is_open_at(peer) else None

    def _is_open_at(self, peer: str) -> bool:
        return self._open is not None and self._open.peer == peer

    def _drop(self, known: int, now: float) -> FetchTimeout | None:
        """Drop the fetch; one that brought what is known now was answered."""
        fetch, self._open = self._open, None
        if fetch is None or fetch.known != known:
            return None
        return FetchTimeout(peer=fetch.peer, after_s=now - fetch.sent_at)
