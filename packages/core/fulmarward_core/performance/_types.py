"""Measurements of one target by an instance."""

from dataclasses import dataclass

#: Seconds per prompt token until it was measured.
FIRST_PREFILL_S = 0.0002


@dataclass(kw_only=True)
class Performance:
    """Measured speed, concurrency limit and health of one target."""

    #: Maximum concurrent requests of this instance; 0 before the first use.
    limit: float = 0.0
    #: Whether the limit still doubles (slow start), because it was never cut.
    is_ramping: bool = True
    #: When the limit was last cut, in seconds on the monotonic clock.
    cut_at: float = float("-inf")
    #: Seconds between two tokens, as a moving average; 0 before the first.
    token_s: float = 0.0
    #: Seconds per uncached prompt token, as a low quantile.
    prefill_s: float = FIRST_PREFILL_S
    #: Round-trip overhead in seconds, as a low quantile.
    overhead_s: float = 0.0
    #: Share of failed attempts, as a moving average.
    failed_share: float = 0.0
    #: Until when it is set aside, in seconds on the monotonic clock.
    aside_until: float = float("-inf")
    #: How long it was last set aside, in seconds; 0 if it never was.
    aside_s: float = 0.0
    #: Successful probes still needed before it is used normally again.
    probes_left: int = 0
