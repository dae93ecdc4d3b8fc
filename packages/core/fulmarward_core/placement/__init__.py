"""Desired state of targets, and rollouts that reach it without an outage."""

from fulmarward_core.placement._types import (
    Action,
    ActionKind,
    EngineState,
    Held,
    Outcomes,
    Rollout,
    RolloutPhase,
    Wanted,
)
from fulmarward_core.placement._window import (
    OutcomeWindow,
    count_outcome,
    list_outcomes,
)
from fulmarward_core.placement.decisions import (
    add_outcomes,
    advance_rollout,
    can_serve,
    has_soaked,
    has_whole_chain,
    leaves_whole_chain,
    list_wanted,
    needs_load,
    plan_actions,
)

__all__ = [
    "Action",
    "ActionKind",
    "EngineState",
    "Held",
    "OutcomeWindow",
    "Outcomes",
    "Rollout",
    "RolloutPhase",
    "Wanted",
    "add_outcomes",
    "advance_rollout",
    "can_serve",
    "count_outcome",
    "has_soaked",
    "has_whole_chain",
    "leaves_whole_chain",
    "list_outcomes",
    "list_wanted",
    "needs_load",
    "plan_actions",
]
