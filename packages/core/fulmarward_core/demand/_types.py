"""Values that describe the demand for a service."""

import math
from dataclasses import dataclass


@dataclass(frozen=True, kw_only=True)
class ClassDemand:
    """The demand of one class: all requests of one service with one urgency.

    Amounts of KV cache are in tokens x layers. Raises `ValueError` if a number is
    negative or not finite, so that a faulty report never enters a sum.
    """

    #: 0 is served first.
    urgency: int
    #: KV cache needed by waiting requests that are on time.
    on_time_kv: float
    #: KV cache needed by waiting requests that are late.
    late_kv: float
    #: KV cache needed by arriving requests, per second.
    arriving_kv_per_s: float
    #: KV cache released by finished requests, per second.
    released_kv_per_s: float
    #: KV cache promised to rejected callers.
    promised_kv: float

    def __post_init__(self) -> None:
        for name, value in vars(self).items():
            # The comparison is false for NaN too.
            if not 0 <= value < math.inf:
                raise ValueError(
                    f"{name} must be finite and not negative, found {value}"
                )
