"""Settings of an engine stand-in."""

from dataclasses import dataclass, field


@dataclass(kw_only=True)
class EngineSpec:
    """Settings of an engine stand-in."""

    #: Display name.
    name: str
    #: Model loaded at the start.
    model: str
    #: Model version loaded at the start.
    version: str = "v1"
    #: Number of layers of the model.
    model_layers: int = 24
    #: Range of layers held, the end exclusive.
    layers: tuple[int, int] = (0, 24)
    #: Adapters loaded at the start.
    adapters: list[str] = field(default_factory=list)
    #: Streams that run concurrently; more are queued.
    slots: int = 16
    #: Length of the queue; more streams are refused.
    waiting: int = 64
    #: Time between two tokens of a stream, in milliseconds.
    token_ms: float = 10.0
    #: Prompt tokens processed per millisecond.
    prefill_tokens_per_ms: float = 20.0
    #: Delay of the load report, in seconds.
    load_lag_s: float = 0.2
    #: Capacity of the prefix cache, in prefixes.
    cache_entries: int = 64
    #: Delay of cache events, in seconds.
    event_lag_s: float = 0.2
    #: Every n-th event is lost; 0 loses none.
    lose_event_every: int = 0
    #: Whether orders with an old fencing number are refused.
    checks_fencing: bool = True
    #: Time to load weights, in milliseconds.
    load_ms: float = 200.0
    #: File to which the ledger is also written, or empty.
    ledger_file: str = ""
