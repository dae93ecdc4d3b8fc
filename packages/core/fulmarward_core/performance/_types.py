"""What an instance has measured of one target."""

from dataclasses import dataclass

#: Seconds that an engine reads a prompt token in, before one was measured.
FIRST_PREFILL_S = 0.0002


@dataclass(kw_only=True)
class Performance:
    """One target's measured speed, its limit and whether it is set aside."""

    #: Requests that this instance may have on it at once; 0 before the first use.
    limit: float = 0.0
    #: Whether the limit still doubles: it was never cut.
    is_ramping: bool = True
    #: When the limit was last cut, seconds on the steady clock.
    cut_at: float = float("-inf")
    #: Seconds between two tokens, moving mean; 0 before the first.
    token_s: float = 0.0
    #: Seconds for a prompt token that is not cached, a low quantile.
    prefill_s: float = FIRST_PREFILL_S
    #: Seconds of the way there and back, a low quantile.
    overhead_s: float = 0.0
    #: Share of the last tries that failed, moving mean.
    failed_share: float = 0.0
    #: Until when it is set aside, seconds on the steady clock.
    aside_until: float = float("-inf")
    #: How long it was set aside the last time, seconds; 0 when it is trusted.
    aside_s: float = 0.0
    #: Good answers still needed before it is trusted again.
    probes_left: int = 0
