"""Limit on the number of peers to which a snapshot is sent concurrently."""

from dataclasses import dataclass

#: Seconds for which the snapshots in flight may occupy this instance's link. Guards
#: against probes that queue behind them.
MAX_OCCUPANCY_S = 0.05

#: Limits on snapshot bytes in flight. The lower one applies if the link's rate is
#: unknown.
MAX_IN_FLIGHT_BYTES = 125_000
MAX_FAST_IN_FLIGHT_BYTES = 1_000_000

#: Seconds after which a snapshot counts as received, or lost.
TRANSFER_TIMEOUT_S = 1.0


@dataclass(frozen=True, kw_only=True)
class _Transfer:
    size: int
    began_at: float


def find_max_in_flight(link_bytes_per_s: float | None) -> int:
    """Return how many snapshot bytes may be in flight on a link.

    `link_bytes_per_s` is `None` if the link's rate is unknown.
    """
    if link_bytes_per_s is None:
        return MAX_IN_FLIGHT_BYTES
    return min(MAX_FAST_IN_FLIGHT_BYTES, int(link_bytes_per_s * MAX_OCCUPANCY_S))


class TransferLimiter:
    """Limits the snapshots in flight; a single one is always allowed.

    Guards against a link that is saturated with copies of a snapshot while peers that
    have it already could forward it: with few copies at a time, the number of senders
    doubles with each round.
    """

    def __init__(self, *, max_bytes: int = MAX_IN_FLIGHT_BYTES) -> None:
        self._max_bytes = max_bytes
        self._in_flight: dict[str, _Transfer] = {}

    def begin(self, peer: str, size: int, *, now: float) -> bool:
        """Start a transfer of `size` bytes if it is allowed; return whether it is."""
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
        """Record that the peer received the snapshot or disconnected."""
        self._in_flight.pop(peer, None)
