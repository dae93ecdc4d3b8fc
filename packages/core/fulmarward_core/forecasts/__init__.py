"""Short forecasts of a rate that is observed at irregular times."""

from fulmarward_core.forecasts.decisions import MAX_EXTRAPOLATION_S, Forecast

__all__ = ["MAX_EXTRAPOLATION_S", "Forecast"]
