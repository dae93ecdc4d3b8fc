"""Least-squares fit of a line through measured points."""

import statistics
from collections.abc import Sequence
from dataclasses import dataclass


@dataclass(frozen=True, kw_only=True)
class Line:
    """A line `base + slope * size`; `fit` is the coefficient of determination."""

    slope: float
    base: float
    fit: float

    def value_at(self, size: float) -> float:
        """Return the line's value at `size`."""
        return self.base + self.slope * size


def fit_line(sizes: Sequence[float], values: Sequence[float]) -> Line:
    """Return the least-squares line through the points."""
    slope, base = statistics.linear_regression(sizes, values)
    variance = statistics.pvariance(values)
    errors = [
        value - base - slope * size for size, value in zip(sizes, values, strict=True)
    ]
    fit = (
        1.0 if not variance else 1 - statistics.fmean(e * e for e in errors) / variance
    )
    return Line(slope=slope, base=base, fit=fit)
