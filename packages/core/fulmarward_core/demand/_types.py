"""Types of the demand for capacity."""

import math
from dataclasses import dataclass


@dataclass(frozen=True, kw_only=True)
class ClassDemand:
    """Demand of the requests of one service with one urgency.

    Amounts of KV cache ("kv") are in tokens x layers. Raises `ValueError` for a number
    that is negative or not finite.
    """

    #: Urgency of the class, 0 first; see `fulmarward_core.routes.combine_urgencies`.
    urgency: int
    #: KV cache that waiting requests need which are on time.
    on_time_kv: float
    #: KV cache that waiting requests need which are late.
    late_kv: float
    #: KV cache that arriving requests need per second, mean of the last second or so.
    arriving_kv_per_s: float
    #: KV cache that requests of the class release per second, the same mean.
    released_kv_per_s: float
    #: KV cache promised to rejected callers.
    promised_kv: float

    def __post_init__(self) -> None:
        values = (
            self.urgency,
            self.on_time_kv,
            self.late_kv,
            self.arriving_kv_per_s,
            self.released_kv_per_s,
            self.promised_kv,
        )
        for value in values:
            if not 0 <= value < math.inf:
                raise ValueError(f"expected a finite number from 0 on, found {value}")


@dataclass(frozen=True, kw_only=True)
class CentreDemand:
    """Demand of the requests of one service that arrived in one data centre."""

    #: By class, in order.
    demands: tuple[ClassDemand, ...]
    #: Age of the report on it in seconds; 0 for the own data centre.
    age_s: float
