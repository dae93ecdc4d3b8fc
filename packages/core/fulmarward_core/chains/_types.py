"""Types of chain selection."""

from dataclasses import dataclass, field

from fulmarward_core.streams import Stage


@dataclass(frozen=True, kw_only=True)
class StageOffer:
    """A target that can run any range of its layers, with the cost of doing so."""

    target: str
    #: First layer held, and one past the last.
    layers: tuple[int, int]
    #: Fixed cost of a call in milliseconds, independent of the number of layers.
    call_ms: float
    #: Cost per layer in milliseconds.
    layer_ms: float


@dataclass(frozen=True, kw_only=True)
class Chain:
    """Stages in the order of their layers, without gaps or overlaps."""

    stages: tuple[Stage, ...]
    #: Expected cost of one token in milliseconds.
    cost_ms: float


@dataclass(frozen=True, kw_only=True)
class ExtraTime:
    """Smoothed excess of a target's step time over the time that it declares."""

    extra_ms: float
    #: Time of the last measurement, in seconds on the monotonic clock.
    measured_at: float


@dataclass(kw_only=True)
class StepTimes:
    """Step times measured by one instance."""

    #: By target name; bounded by the number of declared targets.
    extra: dict[str, ExtraTime] = field(default_factory=dict)
