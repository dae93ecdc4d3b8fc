"""Types of the fleet of targets. All are values; a change is a changed copy."""

from collections.abc import Mapping
from dataclasses import dataclass, field


@dataclass(frozen=True, kw_only=True, order=True)
class LayerRange:
    """Consecutive layers of a model: `start` is included, `end` is not."""

    #: First layer.
    start: int
    #: Layer after the last one.
    end: int

    def __post_init__(self) -> None:
        if not 0 <= self.start < self.end:
            raise ValueError(f"expected layers in order, found {self.start}-{self.end}")

    def __len__(self) -> int:
        return self.end - self.start


@dataclass(frozen=True, kw_only=True)
class AcceleratorKind:
    """One kind of accelerator, relative to the reference that times are told for."""

    #: Name, as target records give it.
    name: str
    #: Memory for layers and KV cache together, in MB (10^6 bytes).
    memory_mb: float
    #: Factor on the times of decode steps and of context.
    step_factor: float
    #: Factor on the time of prefill and of loading.
    prefill_factor: float


@dataclass(frozen=True, kw_only=True)
class EngineModel:
    """How the engines of one service run their model."""

    #: Name of the model.
    model: str
    #: Requests that a target runs at once, as the first of a path.
    slots: int
    #: Layers of the whole model.
    layers: int
    #: Weights of one layer, in MB.
    layer_mb: float
    #: KV cache of one token through all layers, in bytes.
    kv_bytes_per_token: float
    #: Activations of one token at each hop, in bytes.
    activation_bytes: float
    #: Rate that all transfers between data centres share, in Mbit/s.
    pipe_mbps: float
    #: Time of one decode step through all layers, in ms.
    step_ms: float
    #: Added to a step for each sequence in the batch, in ms.
    sequence_ms: float
    #: Added to a step for each 1,000 tokens of context in the batch, in ms.
    context_ms_per_k: float
    #: Prompt tokens prefilled in a second.
    prefill_tokens_per_s: float
    #: Mean prompt and answer, in tokens.
    usual_prompt: int
    usual_answer: int
    #: Kinds of accelerators, by name.
    kinds: Mapping[str, AcceleratorKind] = field(default_factory=dict)
    #: One-way delay between two data centres, in ms, by their names, both ways.
    delays_ms: Mapping[tuple[str, str], float] = field(default_factory=dict)


@dataclass(frozen=True, kw_only=True)
class ServiceSpec:
    """A pool of targets that do the same work."""

    #: Name of the service.
    name: str
    #: How its engines run, or `None` for a plain service.
    engine: EngineModel | None


@dataclass(frozen=True, kw_only=True)
class TargetRecord:
    """What a target says of itself, as last read."""

    #: Id of this start of the target.
    name: str
    #: Name of its service.
    service: str
    #: `IP:PORT`.
    address: str
    #: Name of its data centre.
    data_centre: str
    #: Whether it is leaving and takes no new work.
    is_leaving: bool
    #: Requests that it runs at once.
    slots: int
    #: Seconds for which it stays slow after its start.
    cold_s: float
    #: When it started, in ms since 1970; 0 when it does not say.
    started_ms: int
    #: Name of its kind of accelerator; empty for a plain service.
    kind: str
    #: The layers that it holds, or `None`.
    layers: LayerRange | None


def count_kv_capacity(engine: EngineModel, kind: AcceleratorKind, layers: int) -> int:
    """Return the KV cache beside `layers` layers, in tokens times layers."""
    free_bytes = (kind.memory_mb - layers * engine.layer_mb) * 1e6
    per_token_layer = engine.kv_bytes_per_token / engine.layers
    return max(0, int(free_bytes / per_token_layer))
