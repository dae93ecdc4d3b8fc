"""To how many peers a snapshot is sent at once."""

from dataclasses import dataclass

#: Seconds for which the snapshots in flight may occupy this instance's link, so that
#: probes are not queued behind them.
MAX_OCCUPANCY_S = 0.05

#: Bounds on snapshot bytes in flight; the lower one holds where the link is not known.
MAX_IN_FLIGHT_BYTES = 125_000
MAX_FAST_IN_FLIGHT_BYTES = 1_000_000

#: Seconds after which a snapshot counts as received, or lost.
TRANSFER_TIMEOUT_S = 1.0


@dataclass(frozen=True, kw_only=True)
class _Transfer:
    size: int
    began_at: float


def find_max_in_flight(link_bytes_per_s: float | None) -> int:
    """Return how many snapshot bytes may be in flight on a link, `None` if unknown."""
    if link_bytes_per_s is None:
        return MAX_IN_FLIGHT_BYTES
    return min(MAX_FAST_IN_FLIGHT_BYTES, int(link_bytes_per_s * MAX_OCCUPANCY_S))


class TransferLimiter:
    """The snapshots in flight, by peer; one is always sent.

    Guards against a link that is full with copies of one snapshot while a peer that has
    it already could send it on: few at a time, the number of senders doubles.
    """

    def __init__(self, *, max_bytes: int = MAX_IN_FLIGHT_BYTES) -> None:
        self._max_bytes = max_bytes
        self._in_flight: dict[str, _Transfer] = {}

    def begin(self, peer: str, size: int, *, now: float) -> bool:
        """Return whether to send a snapshot of `size` bytes to a peer now."""
        self._in_flight = {
            name: transfer
            for name, transfer in self._in_flight.items()
            if now - transfer.began_at < TRANSFER_TIMEOUT_S
        }
        if peer in self._in_flight:
            return False
        sizes = [transfer.size for transfer in self._in_flight.values()]
        if sizes and sum(sizes) + size > self._max_bytes:
            return False
        self._in_flight[peer] = _Transfer(size=size, began_at=now)
        return True

    def end(self, peer: str) -> None:
        """The snapshot was received, or the peer is gone."""
        self._in_flight.pop(peer, None)
