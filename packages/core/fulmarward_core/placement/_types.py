"""Types of placement decisions."""

from dataclasses import dataclass
from enum import Enum


@dataclass(frozen=True, kw_only=True)
class DesiredState:
    """The desired state of a target.

    An order carries the complete state, so sending it again is harmless.
    """

    model: str
    version: str
    #: First layer, and one past the last.
    layers: tuple[int, int]
    #: Names of the adapters, sorted.
    adapters: tuple[str, ...]
    #: Role of the target; `serving` if it runs requests.
    role: str


@dataclass(frozen=True, kw_only=True)
class ReportedState:
    """The state that an engine reports."""

    #: The current state, or the state before a load that is in progress.
    state: DesiredState
    #: The highest fencing number that the engine has seen.
    fencing: int
    #: Whether it is loading weights, during which it serves no requests.
    is_loading: bool


@dataclass(frozen=True, kw_only=True)
class EngineState:
    """One engine of a pool as seen by the holder of the pool's lease."""

    name: str
    wanted: DesiredState
    #: The reported state; `None` if the engine does not answer.
    held: ReportedState | None
    #: Number of requests running and waiting on the engine.
    load: int
    #: Whether a source other than placement reports that it is leaving.
    is_leaving: bool
    #: Whether placement has stopped new work to the engine.
    is_draining: bool
    #: Whether enough time has passed for all instances to learn of the drain.
    is_drain_settled: bool
    #: Whether it has obeyed an order under the current fencing number of the lease.
    is_asserted: bool
    #: Whether an order to the engine is in flight.
    is_ordered: bool


class ActionKind(Enum):
    """Kinds of actions on a target."""

    #: Stop new work before weights are loaded.
    DRAIN = "drain"
    #: Accept new work again.
    OPEN = "open"
    #: Send the order with the desired state.
    ORDER = "order"


@dataclass(frozen=True, kw_only=True)
class Action:
    """An action on one target."""

    kind: ActionKind
    target: str
    #: Fixed word for logs.
    reason: str


class RolloutPhase(Enum):
    """Phases of the rollout of a version."""

    #: Every target that answers and is not leaving holds the version.
    DONE = "done"
    #: Targets are changed one by one.
    RUNNING = "running"
    #: No target can be changed without leaving a pipeline unserved.
    BLOCKED = "blocked"
    #: The version failed more often; no more targets are changed.
    STOPPED = "stopped"


@dataclass(frozen=True, kw_only=True)
class Rollout:
    """The rollout of a model's version over its pool."""

    version: str
    phase: RolloutPhase
    #: Time of the last change of a target, in seconds on the holder's monotonic clock.
    changed_at: float
    #: Why the rollout stopped, for operators.
    reason: str = ""
    #: Whether the new version had a worse failure rate in its latest attempts.
    has_failed: bool = False


@dataclass(frozen=True, kw_only=True)
class Outcomes:
    """Attempts on targets of one version that ended in about the last minute."""

    version: str
    #: All attempts that ended.
    tries: int
    #: Attempts that failed through the target's fault.
    failures: int
