"""Chains of targets that together hold all layers of a model."""

from fulmarward_core.chains._types import Chain, StageOffer, StepTimes
from fulmarward_core.chains.decisions import (
    choose_move,
    covers_layers,
    estimate_step_ms,
    find_chain,
    find_replacement,
    list_offers,
    record_step_time,
)

__all__ = [
    "Chain",
    "StageOffer",
    "StepTimes",
    "choose_move",
    "covers_layers",
    "estimate_step_ms",
    "find_chain",
    "find_replacement",
    "list_offers",
    "record_step_time",
]
