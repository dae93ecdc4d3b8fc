"""Desired state of targets, and rollouts that reach it without an outage."""

from fulmarward_core.placement._types import (
    Action,
    ActionKind,
    DesiredState,
    EngineState,
    Outcomes,
    ReportedState,
    Rollout,
    RolloutPhase,
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
    list_desired_states,
    needs_load,
    plan_actions,
)

__all__ = [
    "Action",
    "ActionKind",
    "EngineState",
    "ReportedState",
    "OutcomeWindow",
    "Outcomes",
    "Rollout",
    "RolloutPhase",
    "DesiredState",
    "add_outcomes",
    "advance_rollout",
    "can_serve",
    "count_outcome",
    "has_soaked",
    "has_whole_chain",
    "leaves_whole_chain",
    "list_outcomes",
    "list_desired_states",
    "needs_load",
    "plan_actions",
]
