"""A straight line through measured points."""

import statistics
from collections.abc import Sequence
from dataclasses import dataclass


@dataclass(frozen=True, kw_only=True)
class Line:
    """`slope` times the size plus `base`; `fit` is the share of variance explained."""

    slope: float
    base: float
    fit: float

    def reach(self, size: float) -> float:
        """Return the line's value at `size`."""
        return self.base + self.slope * size


def fit_line(sizes: Sequence[float], values: Sequence[float]) -> Line:
    """Return the least-squares line through the points."""
    slope, base = statistics.linear_regression(sizes, values)
    spread = statistics.pvariance(values)
    errors = [
        value - base - slope * size for size, value in zip(sizes, values, strict=True)
    ]
    fit = 1.0 if not spread else 1 - statistics.fmean(e * e for e in errors) / spread
    return Line(slope=slope, base=base, fit=fit)
