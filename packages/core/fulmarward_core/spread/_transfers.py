"""To how many peers a row is on its way."""

from dataclasses import dataclass

#: Most bytes on their way to peers together; one row always goes. Load: all peers ask
#: at once; harm: whatever else passes the link waits behind the rows; reason: 50 ms of
#: a link of 20 Mbit/s, so that a probe still has its answer in time.
MOST_UNDER_WAY_BYTES = 125_000

#: Seconds after which a row counts as arrived, or lost. Load: peers that fall silent;
#: reason: a question is given up then.
TELL_S = 1.0


@dataclass(frozen=True, kw_only=True)
class _Telling:
    size: int
    began_at: float


class TransferLimiter:
    """The rows that are on their way, by peer.

    Guards against a link that is full with copies of one row while whoever has one
    already could tell the others: few at a time, the number that tells doubles.
    """

    def __init__(self) -> None:
        self._under_way: dict[str, _Telling] = {}

    def begin(self, peer: str, size: int, *, now: float) -> bool:
        """Return whether to send a row of `size` bytes to a peer now."""
        self._under_way = {
            name: telling
            for name, telling in self._under_way.items()
            if now - telling.began_at < TELL_S
        }
        if peer in self._under_way:
            return False
        sizes = [telling.size for telling in self._under_way.values()]
        if sizes and sum(sizes) + size > MOST_UNDER_WAY_BYTES:
            return False
        self._under_way[peer] = _Telling(size=size, began_at=now)
        return True

    def end(self, peer: str) -> None:
        """The row has arrived, or the peer is gone."""
        self._under_way.pop(peer, None)
