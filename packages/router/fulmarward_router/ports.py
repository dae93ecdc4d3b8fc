"""The router's ports: typed interfaces to settings, store, callers and targets.

An adapter for each platform implements them. No other module of the router depends on
the platform's names or formats.
"""

from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field
from enum import Enum
from typing import Protocol

from fulmarward.http import ResponseLimits
from fulmarward_core.connections import ConnectionLimits
from fulmarward_core.fleet import LayerRange, RowFault, TargetRecord
from fulmarward_core.paths import Hop
from fulmarward_core.reservations import ClassSettings
from fulmarward_core.routes import RoutingConfiguration
from fulmarward_core.steps import Steps
from fulmarward_core.team_shares import TeamSettings


class SettingsError(Exception):
    """Invalid settings; the message names the expected and the found value."""


@dataclass(frozen=True, kw_only=True)
class RouterSettings:
    """The settings of one process."""

    #: Name of the instance.
    name: str
    #: Its data centre and region.
    data_centre: str
    region: str
    #: Region of each data centre.
    regions: Mapping[str, str]
    #: `IP:PORT` for callers, readiness checks, lookups and peers; empty to disable.
    caller_address: str
    ready_address: str
    lookup_address: str
    peer_address: str
    #: Peer addresses to contact at the start; some may be outdated.
    seeds: tuple[str, ...]
    #: `IP:PORT` of the metrics; empty to disable.
    metrics_address: str
    #: `IP:PORT` of the platform's store.
    store_address: str
    #: Whether the whole system starts for the first time.
    is_first_start: bool
    #: Seconds between two heartbeats of a target.
    heartbeat_s: float
    #: Maximum seconds for which callers may cache a lookup.
    max_lookup_duration_s: float
    #: Seconds from SIGTERM to SIGKILL.
    grace_s: float
    #: Maximum seconds until a new configuration is in force.
    configuration_s: float
    #: Retry budget of a service: retries allowed per request, plus a constant number in
    #: each window.
    retry_ratio: float
    retry_slack: float
    retry_window_s: float
    #: Seconds after which a request that waits for an unreachable target is aborted.
    stall_s: float
    #: Bandwidth of the instance's own link in bytes per second, `None` if unknown.
    link_bytes_per_s: float | None = None
    #: What is accepted of one response of a target or peer.
    response_limits: ResponseLimits = ResponseLimits()
    #: What callers may make this instance hold.
    connection_limits: ConnectionLimits = ConnectionLimits()
    #: Admission of requests to services whose routes have different priorities.
    class_settings: ClassSettings = ClassSettings()
    #: Shares of teams in the capacity of services.
    team_settings: TeamSettings = TeamSettings()
    #: Whether services without classes are balanced between data centres too.
    balances_data_centres: bool = False
    #: Log level: `debug`, `info` or `warning`.
    log_level: str = "info"


@dataclass(frozen=True, kw_only=True)
class Row:
    """A row of the platform's store."""

    key: str
    #: Its bytes, or `None` if it was removed.
    value: bytes | None
    #: Version of its last change, as `fulmarward_core.store_versions`, like all others.
    version: int


@dataclass(frozen=True, kw_only=True)
class RowsRead:
    """Rows of one table at one version of the store."""

    #: All rows, or those that changed.
    rows: tuple[Row, ...]
    #: The store's version.
    version: int


@dataclass(frozen=True, kw_only=True)
class Committed:
    """A committed transaction."""

    #: Version of the store after the transaction.
    version: int


@dataclass(frozen=True, kw_only=True)
class Conflict:
    """A transaction that was rejected because a row has another version."""

    #: The current rows.
    rows: tuple[Row, ...]


class StoreRefused(Exception):
    """The store did not execute the call: it was busy, down or unreachable."""


class ReplyLost(Exception):
    """The call was not answered; it may have been executed, or may be later."""


class HistoryExpired(Exception):
    """The store no longer holds the requested version, or the changes since then.

    The call had no effect.
    """


@dataclass(frozen=True, kw_only=True)
class RowWrite:
    """A row to write, or to remove if `value` is `None`."""

    table: str
    key: str
    value: bytes | None


@dataclass(frozen=True, kw_only=True)
class RowCondition:
    """The version that a row must have; 0 if it must not exist."""

    table: str
    key: str
    version: int


class Store(Protocol):
    """The platform's store of rows; calls raise `StoreRefused` or `ReplyLost`.

    Those that depend on a version raise `HistoryExpired` if it is of an earlier era.
    """

    #: Names of the tables with the operator's configuration and with the targets.
    configuration_table: str
    targets_table: str

    @property
    def era(self) -> int | None:
        """The store's era, `None` if it has not named one.

        It rises each time that the store comes back from an older copy of its rows.
        What it acknowledged after that copy is lost, and versions are given out again.
        """

    def note_era(self, era: int) -> None:
        """Record an era that a peer has learned from the store."""

    async def read_table(self, table: str) -> RowsRead:
        """Return all rows of a table."""

    async def follow_table(self, table: str, after: int, wait_s: float) -> RowsRead:
        """Wait for changes after a version and return them; raises `HistoryExpired`."""

    async def transact(
        self, conditions: Sequence[RowCondition], writes: Sequence[RowWrite]
    ) -> Committed | Conflict:
        """Write all rows atomically if the conditions hold."""

    def decode_configuration(self, row: Row) -> Steps[RoutingConfiguration | None]:
        """Return the configuration in a row, `None` if the row holds something else.

        It is decoded in steps, of which none takes the event loop for long.

        Raises `ValueError` if the configuration is malformed.
        """

    def decode_target(self, row: Row) -> TargetRecord | RowFault | None:
        """Return the target in a row, or why there is none; `None` if it is removed.

        Raises nothing, whatever the bytes of the row are.
        """


@dataclass(frozen=True, kw_only=True)
class CallerFacts:
    """Decoded headers of a caller's request."""

    #: Caller's id of this attempt, empty if it sent none.
    request_id: str
    #: Seconds until the caller gives up, or `None`.
    deadline_s: float | None
    #: API key, or `None`.
    key: str | None
    #: Id of the last event that the caller received, or `None`.
    last_event: str | None
    #: Tokens of the prompt, and maximum tokens of the answer.
    prompt_tokens: int
    max_answer_tokens: int
    #: Caller's estimate of the tokens of the answer, or `None`.
    hinted_answer_tokens: int | None
    #: Name of the instance that relayed the request, or `None`, and how many targets
    #: may have executed it before.
    relayed_by: str | None
    runs_before: int
    #: Whether no peer of that instance reaches targets for certain, so that this one
    #: tries them.
    is_last_resort: bool
    #: Ids of the parts of the prompt that other requests may share, in their order.
    shared_parts: tuple[str, ...] = ()


@dataclass(frozen=True, kw_only=True)
class TargetCall:
    """Parameters of one attempt at a target, sent as headers."""

    #: Name and address of the target.
    target: str
    address: str
    #: Team of the caller, or `None`.
    team: str | None
    #: Seconds until the deadline.
    deadline_s: float
    #: Urgency, 0 is the highest; `None` if the target does not support it.
    urgency: int | None
    #: Path through the targets that hold the layers, empty if one target serves alone.
    path: tuple[Hop, ...] = ()
    #: Id of the event after which a stream resumes, `None` to start it.
    last_event: str | None = None


@dataclass(frozen=True, kw_only=True)
class AnswerFacts:
    """Decoded status and headers of a target's answer."""

    #: Id of the answered request, or `None`.
    request_id: str | None
    #: Whether the target signed it.
    is_signed: bool
    #: Whether the target guarantees that it did not and will not run the request.
    is_not_run: bool
    #: Address of the target that caused a failure, or `None`.
    address_at_fault: str | None
    #: Whether the address now belongs to another target.
    is_misdirected: bool
    #: Whether the body has no content encoding, which only an intermediary adds.
    is_plain: bool
    #: Requests a second that the target accepts from all instances; `None` if it names
    #: no limit.
    limit_per_s: float | None = None
    #: What it names instead of a limit that can be decoded, or `None`.
    malformed_limit: str | None = None
    #: Seconds for which a target that rejected the request wants no other one from this
    #: instance; `None` if it does not say so.
    backoff_s: float | None = None
    #: What it says instead of a duration that can be decoded, or `None`.
    malformed_backoff: str | None = None
    #: Whether the target says that it is shutting down.
    is_leaving: bool = False

    @property
    def is_own(self) -> bool:
        """Whether the answer is the target's own, as far as it shows."""
        return (self.is_signed or self.is_not_run) and not self.is_misdirected


@dataclass(frozen=True, kw_only=True)
class StalledRequest:
    """A request that waits for an unresponsive target."""

    request_id: str
    #: Address of the unresponsive target.
    address: str


@dataclass(frozen=True, kw_only=True)
class TargetReport:
    """A target's report on its own state."""

    #: Layers that it holds, or `None`.
    layers: LayerRange | None
    #: Number of orders accepted since its start.
    orders_accepted: int
    #: Slowdown factor on its nominal times; above 1 if it is slow.
    pace: float
    #: KV cache in use, in tokens x layers.
    kv_used: float = 0.0
    #: Requests with this target as first hop that wait for an unreachable target.
    stalled: tuple[StalledRequest, ...] = field(default=())


class OrderOutcome(Enum):
    """The outcome of an order."""

    #: The target has started to carry it out, or already is in the ordered state.
    TAKEN = "taken"
    #: It conflicts with the target's state.
    UNFIT = "unfit"
    #: A newer lease holder has sent orders.
    FENCED = "fenced"
    #: The request that it refers to does not exist at the target.
    ABSENT = "absent"
    #: The address belongs to another target, or the order is not supported.
    REFUSED = "refused"
    #: The order was not answered.
    UNKNOWN = "unknown"


@dataclass(frozen=True, kw_only=True)
class OrderResult:
    """A target's answer to an order."""

    outcome: OrderOutcome
    #: Address of the target that caused a failure, or `None`.
    address_at_fault: str | None = None


class TargetDialect(Protocol):
    """The formats and calls of targets and callers."""

    def read_caller(self, headers: Mapping[str, str]) -> CallerFacts:
        """Decode a caller's headers; raises `ValueError`."""

    def make_headers(
        self, headers: Mapping[str, str], call: TargetCall
    ) -> list[tuple[str, str]]:
        """Return the headers of one attempt, derived from the caller's."""

    def make_relay_headers(
        self,
        headers: Mapping[str, str],
        *,
        relayed_by: str,
        runs: int,
        is_last_resort: bool,
        deadline_s: float,
        last_event: str | None,
    ) -> list[tuple[str, str]]:
        """Return the headers with which an instance relays a request to a peer."""

    def read_answer(self, status: int, headers: Mapping[str, str]) -> AnswerFacts:
        """Decode the status and headers of an answer."""

    def select_answer_headers(
        self, headers: Mapping[str, str]
    ) -> list[tuple[str, str]]:
        """Return the headers of an answer that are forwarded to the caller."""

    async def read_report(
        self, record: TargetRecord, timeout_s: float
    ) -> TargetReport | None:
        """Request a target's report; return `None` if it does not answer in time."""

    async def is_responding(self, record: TargetRecord, timeout_s: float) -> bool:
        """Return whether a target answers in time, even if it has no report."""

    async def is_accepting(self, record: TargetRecord, timeout_s: float) -> bool:
        """Return whether a target accepts a connection in time; it gets no request."""

    async def order_layers(
        self,
        record: TargetRecord,
        layers: LayerRange,
        *,
        fencing: int,
        orders_accepted: int,
    ) -> OrderResult:
        """Order a target to hold layers if it has accepted `orders_accepted` orders."""

    async def order_path(
        self, record: TargetRecord, request_id: str, path: Sequence[Hop]
    ) -> OrderResult:
        """Order the first target of a request to route it along another path."""
