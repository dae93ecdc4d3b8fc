"""What is known of targets when a chain is chosen."""

from dataclasses import dataclass, field

from fulmarward_core.streams import Stage


@dataclass(frozen=True, kw_only=True)
class StageOffer:
    """A target that can run any range inside the layers it holds, and the price."""

    #: Name of the target.
    target: str
    #: First layer held, and one past the last.
    layers: tuple[int, int]
    #: Cost of one call in milliseconds, however many layers it runs.
    call_ms: float
    #: Cost of one layer in milliseconds.
    layer_ms: float


@dataclass(frozen=True, kw_only=True)
class Chain:
    """Stages in the order of their layers, without a gap or an overlap."""

    #: The stages.
    stages: tuple[Stage, ...]
    #: Expected cost of one token in milliseconds.
    cost_ms: float


@dataclass(frozen=True, kw_only=True)
class ExtraTime:
    """How much longer a target's steps take than its declaration lets expect."""

    #: Milliseconds, smoothed.
    extra_ms: float
    #: When the last step was measured, seconds on the steady clock.
    measured_at: float


@dataclass(kw_only=True)
class StepTimes:
    """The step times that one instance has measured, by target."""

    #: By name of the target; bounded by the targets that are declared.
    extra: dict[str, ExtraTime] = field(default_factory=dict)
