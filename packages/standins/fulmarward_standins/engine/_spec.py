"""How an engine stand-in starts."""

from dataclasses import dataclass, field


@dataclass(kw_only=True)
class EngineSpec:
    """The settings of one engine stand-in."""

    #: Name for people.
    name: str
    #: Model held at the start.
    model: str
    #: Version held at the start.
    version: str = "v1"
    #: Number of layers of the whole model.
    model_layers: int = 24
    #: First layer held, and one past the last.
    layers: tuple[int, int] = (0, 24)
    #: Adapters held at the start.
    adapters: list[str] = field(default_factory=list)
    #: Streams that run at once; more wait.
    slots: int = 16
    #: Streams that may wait; more are refused.
    waiting: int = 64
    #: Time between two tokens of a stream, in milliseconds.
    token_ms: float = 10.0
    #: Prompt tokens read in a millisecond.
    prefill_tokens_per_ms: float = 20.0
    #: How late the load report is, in seconds.
    load_lag_s: float = 0.2
    #: Prefixes that the cache holds.
    cache_entries: int = 64
    #: How late a cache event is published, in seconds.
    event_lag_s: float = 0.2
    #: One event in this many is lost; 0 loses none.
    lose_event_every: int = 0
    #: Whether an order with an old fencing number is refused.
    checks_fencing: bool = True
    #: How long loading weights takes, in milliseconds.
    load_ms: float = 200.0
    #: File to which the ledger is also written; empty for none.
    ledger_file: str = ""
