"""The types of a declaration. All are immutable; a change is a new declaration."""

from collections.abc import Mapping
from dataclasses import dataclass
from enum import IntEnum, StrEnum


class Urgency(IntEnum):
    """How soon an answer is needed; a lower number goes first."""

    URGENT = 0
    NORMAL = 1
    BULK = 2


class TargetKind(StrEnum):
    """What a target is."""

    ENGINE = "engine"
    SERVICE = "service"


@dataclass(frozen=True, kw_only=True)
class DataCentre:
    """A place where instances and targets stand."""

    #: The region, inside which links are short.
    region: str


@dataclass(frozen=True, kw_only=True)
class Team:
    """A team and the service it was sold."""

    #: SHA-256 digests of the team's keys, `sha256:` and 64 hexadecimal digits.
    key_digests: tuple[str, ...]
    #: Sold service in tokens a second, prompt and output together.
    tokens_per_s: float
    #: Tokens that may be used at once beyond the rate.
    burst_tokens: float
    #: Names of the pipelines the team may use.
    pipelines: tuple[str, ...]
    #: Names of the services the team may use.
    services: tuple[str, ...]


@dataclass(frozen=True, kw_only=True)
class Model:
    """A model that engines can hold."""

    #: Number of layers; ranges of targets lie in `[0, layers)`.
    layers: int
    #: Versions that engines may hold, oldest first.
    versions: tuple[str, ...]
    #: The version that serves.
    serving: str
    #: Names of the adapters that may be asked for.
    adapters: tuple[str, ...]


@dataclass(frozen=True, kw_only=True)
class Pipeline:
    """What a caller's `model` names: a model, an adapter and a purpose."""

    #: Name of the model.
    model: str
    #: Name of the adapter, or `None`.
    adapter: str | None
    #: Default urgency of its requests.
    urgency: Urgency
    #: Default deadline, milliseconds from acceptance to the last token.
    deadline_ms: int
    #: Whether a request may be executed more than once.
    idempotent: bool
    #: Most tokens that one answer may have.
    max_output_tokens: int


@dataclass(frozen=True, kw_only=True)
class ServiceCall:
    """A rule for the calls of a plain service."""

    #: HTTP method.
    method: str
    #: Path below the service; a trailing `*` stands for any rest.
    path: str
    #: Whether the call may be executed more than once.
    idempotent: bool


@dataclass(frozen=True, kw_only=True)
class Service:
    """A plain service beside the engines."""

    #: Rules, the first that fits counts; no rule means not idempotent.
    calls: tuple[ServiceCall, ...]
    #: Deadline of a call in milliseconds.
    deadline_ms: int


@dataclass(frozen=True, kw_only=True)
class Target:
    """A back end: an engine or a replica of a plain service."""

    #: Address `IP:PORT`.
    address: str
    #: Name of its data centre.
    data_centre: str
    #: What it is.
    kind: TargetKind
    #: Name of the model or the service.
    serves: str
    #: Accelerator kind; empty for services.
    accelerator: str
    #: First layer held, and one past the last; `(0, 0)` for services.
    layers: tuple[int, int]
    #: Requests it runs at once.
    slots: int
    #: Tokens a second that it generates when full.
    tokens_per_s: float
    #: Whether it refuses an order that carries an old fencing number.
    checks_fencing: bool


@dataclass(frozen=True, kw_only=True)
class Link:
    """The way between two data centres, the same in both directions."""

    #: The two data centres' names.
    between: tuple[str, str]
    #: One-way latency in milliseconds.
    latency_ms: float
    #: Capacity in megabits a second.
    mbit_per_s: float


@dataclass(frozen=True, kw_only=True)
class Declaration:
    """All that operators declare, checked as a whole."""

    #: Data centres by name.
    data_centres: Mapping[str, DataCentre]
    #: Links between data centres.
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
