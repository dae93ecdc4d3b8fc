"""Choice of the one peer to fetch a newer version from."""

from dataclasses import dataclass

#: Seconds after which a fetch without an answer is abandoned. Several large snapshots
#: can pass a slow link in that time.
FETCH_TIMEOUT_S = 1.0

#: Seconds for which a peer that deferred a fetch is not asked again.
DEFER_DURATION_S = 0.05


@dataclass(frozen=True, kw_only=True)
class FetchTimeout:
    """A fetch that was abandoned without an answer."""

    #: Name of the peer that was asked.
    peer: str
    #: Seconds for which the fetch was pending.
    after_s: float


@dataclass(frozen=True, kw_only=True)
class _Fetch:
    peer: str
    known: int
    sent_at: float


class PendingFetch:
    """The single pending fetch of a newer version, and the peers that deferred it.

    Guards against a second snapshot on a link that is still busy with the first, since
    all peers report a new version at about the same time. An answer without a newer
    version leaves the fetch pending, so that a snapshot that cannot be decoded is not
    fetched again at once.
    """

    def __init__(self) -> None:
        self._open: _Fetch | None = None
        self._deferred_until: dict[str, float] = {}

    def try_start(self, peer: str, *, known: int, now: float) -> bool:
        """Start a fetch from `peer` unless one is pending; return whether to send it.

        `known` is the version that is known here.
        """
        if self._open is not None and self._open.known == known:
            return False
        if now < self._deferred_until.get(peer, now):
            return False
        self._open = _Fetch(peer=peer, known=known, sent_at=now)
        return True

    def check_timeout(self, *, known: int, now: float) -> FetchTimeout | None:
        """Abandon the fetch if it has been pending for too long, and return it."""
        if self._open is None or now - self._open.sent_at < FETCH_TIMEOUT_S:
            return None
        return self._drop(known, now)

    def note_deferred(self, peer: str, *, now: float) -> None:
        """Record that a peer sends to others first; another may be asked at once."""
        self._deferred_until = {
            name: until for name, until in self._deferred_until.items() if until > now
        }
        self._deferred_until[peer] = now + DEFER_DURATION_S
        if self._is_open_at(peer):
            self._open = None

    def note_lost(self, peer: str, *, known: int, now: float) -> FetchTimeout | None:
        """Abandon the fetch if it went to `peer`, whose link was closed."""
        return self._drop(known, now) if self._is_open_at(peer) else None

    def _is_open_at(self, peer: str) -> bool:
        return self._open is not None and self._open.peer == peer

    def _drop(self, known: int, now: float) -> FetchTimeout | None:
        """Drop the fetch; return it unless a newer version than before is known."""
        fetch, self._open = self._open, None
        if fetch is None or fetch.known != known:
            return None
        return FetchTimeout(peer=fetch.peer, after_s=now - fetch.sent_at)
