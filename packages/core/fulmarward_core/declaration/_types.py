"""Immutable types of a declaration. Any change makes a new declaration."""

from collections.abc import Mapping
from dataclasses import dataclass
from enum import IntEnum, StrEnum


class Urgency(IntEnum):
    """Priority of a request; a lower value is served first."""

    URGENT = 0
    NORMAL = 1
    BULK = 2


class TargetKind(StrEnum):
    """Kind of back end that a target is."""

    ENGINE = "engine"
    SERVICE = "service"


@dataclass(frozen=True, kw_only=True)
class DataCentre:
    """A data centre that hosts instances and targets."""

    #: Region; links within one region have low latency.
    region: str


@dataclass(frozen=True, kw_only=True)
class Team:
    """A team of callers with its keys, its paid rate and its permissions."""

    #: SHA-256 digests of the team's keys, `sha256:` and 64 hexadecimal digits.
    key_digests: tuple[str, ...]
    #: Paid rate in tokens a second, prompt and output tokens together.
    tokens_per_s: float
    #: Tokens that may be used in a burst above the rate.
    burst_tokens: float
    #: Names of the pipelines the team may use.
    pipelines: tuple[str, ...]
    #: Names of the services the team may use.
    services: tuple[str, ...]


@dataclass(frozen=True, kw_only=True)
class Model:
    """A model that engines can load."""

    #: Number of layers; layer ranges of targets lie in `[0, layers)`.
    layers: int
    #: Versions that engines may load, oldest first.
    versions: tuple[str, ...]
    #: The version that serves requests.
    serving: str
    #: Names of the adapters that pipelines may use.
    adapters: tuple[str, ...]


@dataclass(frozen=True, kw_only=True)
class Pipeline:
    """What callers name in `model`: a model with an adapter and request defaults."""

    model: str
    #: Name of the adapter, or `None`.
    adapter: str | None
    #: Default urgency of requests.
    urgency: Urgency
    #: Default deadline: milliseconds from acceptance to the last token.
    deadline_ms: int
    #: Whether a request may be executed more than once.
    idempotent: bool
    #: Maximum number of output tokens of a request.
    max_output_tokens: int


@dataclass(frozen=True, kw_only=True)
class ServiceCall:
    """A rule for calls of a plain service with a given method and path."""

    method: str
    #: Path below the service; a trailing `*` matches any suffix.
    path: str
    #: Whether the call may be executed more than once.
    idempotent: bool


@dataclass(frozen=True, kw_only=True)
class Service:
    """A plain HTTP service, not run by engines."""

    #: Rules; the first match applies. A call without a match is not idempotent.
    calls: tuple[ServiceCall, ...]
    #: Deadline of a call in milliseconds.
    deadline_ms: int


@dataclass(frozen=True, kw_only=True)
class Target:
    """A back end: an engine or a replica of a plain service."""

    #: Address `IP:PORT`.
    address: str
    data_centre: str
    kind: TargetKind
    #: Name of the model or service that it serves.
    serves: str
    #: Type of accelerator; empty for services.
    accelerator: str
    #: First loaded layer and one past the last; `(0, 0)` for services.
    layers: tuple[int, int]
    #: Maximum number of concurrent requests.
    slots: int
    #: Tokens a second that it generates at full load.
    tokens_per_s: float
    #: Whether it rejects orders that carry a stale fencing number.
    checks_fencing: bool


@dataclass(frozen=True, kw_only=True)
class Link:
    """A symmetric network link between two data centres."""

    #: Names of both data centres.
    between: tuple[str, str]
    #: One-way latency in milliseconds.
    latency_ms: float
    #: Capacity in megabits a second.
    mbit_per_s: float


@dataclass(frozen=True, kw_only=True)
class Declaration:
    """Everything that operators declare, validated as a whole."""

    #: Data centres by name.
    data_centres: Mapping[str, DataCentre]
    links: tuple[Link, ...]
    #: Teams by name.
    teams: Mapping[str, Team]
    #: Models by name.
    models: Mapping[str, Model]
    #: Pipelines by name.
    pipelines: Mapping[str, Pipeline]
    #: Plain services by name.
    services: Mapping[str, Service]
    #: Targets by name.
    targets: Mapping[str, Target]
