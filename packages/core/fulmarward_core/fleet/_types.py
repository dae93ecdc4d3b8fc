"""Immutable types that describe the fleet of targets."""

from collections.abc import Mapping
from dataclasses import dataclass, field


@dataclass(frozen=True, kw_only=True, order=True)
class LayerRange:
    """Consecutive layers of a model, from `start` up to but excluding `end`."""

    start: int
    end: int

    def __post_init__(self) -> None:
        if not 0 <= self.start < self.end:
            raise ValueError(
                f"expected 0 <= start < end, found {self.start}-{self.end}"
            )

    def __len__(self) -> int:
        return self.end - self.start


@dataclass(frozen=True, kw_only=True)
class AcceleratorKind:
    """A type of accelerator; its speed is relative to a reference accelerator.

    The times in `EngineModel` hold for the reference.
    """

    #: Name, as used in target records.
    name: str
    #: Memory shared by layers and KV cache, in MB (10^6 bytes).
    memory_mb: float
    #: Factor on the time of a decode step and its context.
    step_factor: float
    #: Factor on the time of prefill and of loading layers.
    prefill_factor: float


@dataclass(frozen=True, kw_only=True)
class EngineModel:
    """Size and performance of the model that the engines of a service run."""

    model: str
    #: Maximum number of concurrent requests of a target that is first in their path.
    slots: int
    #: Number of layers of the whole model.
    layers: int
    #: Size of the weights of a layer, in MB.
    layer_mb: float
    #: Size of the KV cache of a token over all layers, in bytes.
    kv_bytes_per_token: float
    #: Size of the activations of a token that a hop transfers, in bytes.
    activation_bytes: float
    #: Bandwidth shared by all transfers between data centres, in Mbit/s.
    pipe_mbps: float
    #: Time of a decode step through all layers, in ms.
    step_ms: float
    #: Additional time of a step for each sequence in the batch, in ms.
    sequence_ms: float
    #: Additional time of a step for each 1,000 context tokens in the batch, in ms.
    context_ms_per_k: float
    #: Prefill rate in prompt tokens a second.
    prefill_tokens_per_s: float
    #: Mean lengths of prompts and answers, in tokens.
    mean_prompt_tokens: int
    mean_answer_tokens: int
    #: Types of accelerators by name.
    kinds: Mapping[str, AcceleratorKind] = field(default_factory=dict)
    #: One-way delays in ms by the names of both data centres, in both directions.
    delays_ms: Mapping[tuple[str, str], float] = field(default_factory=dict)


@dataclass(frozen=True, kw_only=True)
class ServiceSpec:
    """A service, provided by a pool of interchangeable targets."""

    name: str
    #: Model of its engines, or `None` for a plain service.
    engine: EngineModel | None


@dataclass(frozen=True, kw_only=True)
class TargetRecord:
    """State that a target reports about itself, as last read."""

    #: Id of the target, new after each restart.
    name: str
    service: str
    #: `IP:PORT`.
    address: str
    data_centre: str
    #: Whether it is shutting down and accepts no new requests.
    is_leaving: bool
    #: Maximum number of concurrent requests.
    slots: int
    #: Remaining time in seconds for which it is slow after its start.
    remaining_warmup_s: float
    #: When it started, in ms since 1970; 0 if not reported.
    started_ms: int
    #: Name of its type of accelerator; empty for a plain service.
    kind: str
    #: The layers that it has loaded, or `None`.
    layers: LayerRange | None

    @property
    def process_name(self) -> str:
        """The name of its process, also if it starts again under its own name."""
        return f"{self.name}@{self.started_ms}" if self.started_ms else self.name


def compute_kv_capacity(engine: EngineModel, kind: AcceleratorKind, layers: int) -> int:
    """Return the KV cache capacity beside `layers` loaded layers.

    The unit is tokens times layers.
    """
    free_bytes = (kind.memory_mb - layers * engine.layer_mb) * 1e6
    per_token_layer = engine.kv_bytes_per_token / engine.layers
    return max(0, int(free_bytes / per_token_layer))
