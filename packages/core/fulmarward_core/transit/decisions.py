"""When a peer's messages were sent, on the clock here, without synchronized clocks."""

#: Seconds by which the clocks of two hosts may drift apart per second.
MAX_CLOCK_DRIFT = 2e-4


class TransitClock:
    """Bounds the time that messages of one peer were in transit.

    Each side puts the time of its own monotonic clock into its messages, and notes the
    smallest difference to its clock at their arrival: the offset of the clocks plus the
    shortest transit. It reports that to the other side, which subtracts it from the
    send times that it receives. The result is at most the shortest transit earlier than
    the message was sent, and never later.
    """

    def __init__(self) -> None:
        #: Smallest difference between arrival and send time, in seconds; it grows with
        #: time to allow for a drift of the clocks. `None` before the first message.
        self._offset_s: float | None = None
        self._recorded_at = 0.0
        #: The same as last reported by the peer.
        self._reported_offset_s: float | None = None
        #: Whether the peer has been sent an offset.
        self.has_reported = False

    def find_offset_s(self, *, now: float) -> float | None:
        """Return the offset in seconds to report to the peer, `None` if unknown."""
        if self._offset_s is None:
            return None
        return self._offset_s + MAX_CLOCK_DRIFT * (now - self._recorded_at)

    def record(self, *, sent_at: float, offset_s: float | None, now: float) -> float:
        """Return for how many seconds at most a message was in transit.

        `sent_at` is its send time in seconds on the peer's monotonic clock, `offset_s`
        what the peer reports in it. The result is infinite while the peer has not
        reported an offset.
        """
        known_s = self.find_offset_s(now=now)
        arrived_s = now - sent_at
        self._offset_s = arrived_s if known_s is None else min(known_s, arrived_s)
        self._recorded_at = now
        if offset_s is not None:
            self._reported_offset_s = offset_s
        if self._reported_offset_s is None:
            return float("inf")
        return max(0.0, arrived_s + self._reported_offset_s)
