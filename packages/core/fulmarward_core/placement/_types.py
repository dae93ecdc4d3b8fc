"""Types of the placement slice."""

from dataclasses import dataclass
from enum import Enum


@dataclass(frozen=True, kw_only=True)
class Wanted:
    """What a target shall hold; an order states it whole, so repeating is harmless."""

    #: Name of the model.
    model: str
    #: The model's version.
    version: str
    #: First layer, and one past the last.
    layers: tuple[int, int]
    #: Names of the adapters, sorted.
    adapters: tuple[str, ...]
    #: What it does with them; `serving`.
    role: str


@dataclass(frozen=True, kw_only=True)
class Held:
    """What an engine says that it holds."""

    #: What it holds now, or held before a load that is running.
    state: Wanted
    #: The highest fencing number it has seen.
    fencing: int
    #: Whether it is loading weights: it serves nothing meanwhile.
    is_loading: bool


@dataclass(frozen=True, kw_only=True)
class EngineState:
    """One engine of a pool, as the pool's holder sees it."""

    #: Its name.
    name: str
    #: What it shall hold.
    wanted: Wanted
    #: What it says that it holds; `None` when it does not answer.
    held: Held | None
    #: Requests running and waiting on it.
    load: int
    #: Whether a source other than placement says that it is leaving.
    is_leaving: bool
    #: Whether placement has stopped new work to it.
    is_draining: bool
    #: Whether all instances have had the time to hear of that.
    is_drain_settled: bool
    #: Whether it has obeyed an order of this holding of the lease.
    is_asserted: bool
    #: Whether an order to it is under way.
    is_ordered: bool


class ActionKind(Enum):
    """What placement does to a target."""

    #: Stop new work, because weights will be loaded.
    DRAIN = "drain"
    #: Take new work again.
    OPEN = "open"
    #: Send the order that states what it shall hold.
    ORDER = "order"


@dataclass(frozen=True, kw_only=True)
class Action:
    """One thing to do, with what decided it."""

    #: What to do.
    kind: ActionKind
    #: Name of the target.
    target: str
    #: Why, a fixed word for logs.
    reason: str


class RolloutPhase(Enum):
    """Where the rollout of a version stands."""

    #: Every target that answers and is to stay holds it.
    DONE = "done"
    #: Targets are changed, one by one.
    RUNNING = "running"
    #: No target can be taken without leaving a pipeline unserved.
    BLOCKED = "blocked"
    #: It made things worse; no more targets are changed.
    STOPPED = "stopped"


@dataclass(frozen=True, kw_only=True)
class Rollout:
    """The rollout of a model's version over its pool."""

    #: The version.
    version: str
    #: Where it stands.
    phase: RolloutPhase
    #: When a target was last changed; seconds on the holder's steady clock.
    changed_at: float
    #: Why it stopped, for operators.
    reason: str = ""
    #: Whether the new version failed more often when last it was tried.
    has_failed: bool = False


@dataclass(frozen=True, kw_only=True)
class Outcomes:
    """What became of attempts on targets of one version, in the last minute or so."""

    #: Name of the version.
    version: str
    #: Attempts that ended.
    tries: int
    #: Those of them that failed by the target's fault.
    failures: int
