"""The interface between the mesh and the rest of the instance."""

from collections.abc import Collection, Iterable, Sequence
from dataclasses import dataclass
from enum import Enum
from typing import Protocol

from fulmarward_router.mesh._messages import (
    CompressedConfiguration,
    ConfigurationDeferred,
    ConfigurationReceived,
    ConfigurationSnapshot,
    DataCentreReport,
    DemandReport,
    FetchCompressedConfiguration,
    FetchConfiguration,
    FetchTargets,
    FleetLoads,
    FleetReport,
    Heartbeat,
    LeavingTargetReport,
    LoadUpdate,
    LostTargetReport,
    PatternReport,
    PermitsGranted,
    RedeemedPromise,
    RegainedTargetReport,
    RetryLoanAnswer,
    RetryLoanRequest,
    ReturnPromise,
    SupportsCompression,
    TargetChanges,
    TargetLimitReport,
    TeamReport,
)


@dataclass(frozen=True, kw_only=True)
class Revisions:
    """The revisions of members, loads and targets that a subscriber has."""

    members: int = -1
    loads: int = -1
    targets: int = -1


class DemandScope(Enum):
    """Whose demand and uses of teams a peer is sent."""

    #: That of this instance.
    INSTANCE = "instance"
    #: The sum of the data centre of this instance, a hub.
    OWN_DATA_CENTRE = "own_data_centre"
    #: What other hubs reported for their data centres.
    OTHER_DATA_CENTRES = "other_data_centres"


#: Requests to a peer, the data that it returns, and all answers that it may give.
Fetch = FetchConfiguration | FetchCompressedConfiguration | FetchTargets
Snapshot = ConfigurationSnapshot | CompressedConfiguration | TargetChanges
Answer = Snapshot | ConfigurationDeferred


class MeshState(Protocol):
    """Builds the messages that the mesh sends and merges those that it receives."""

    def make_heartbeat(self, *, has_loads: bool = True) -> Heartbeat:
        """Return this instance's heartbeat, with or without its loads."""

    def has_loads(self) -> bool:
        """Return whether this instance has requests in flight."""

    def get_loads_revision(self) -> int:
        """Return the revision of the last change of this instance's loads."""

    def make_fleet_loads(self, after: int) -> tuple[FleetLoads | None, int]:
        """Return the loads changed after a revision, `None` if there are none, and the
        current revision.
        """

    def merge_fleet_loads(self, report: FleetLoads) -> bool:
        """Merge the changed loads of a hub; return whether that was possible without a
        full report first.
        """

    def make_load_update(self) -> LoadUpdate:
        """Return this instance's loads, for the hubs that it subscribes to."""

    def merge_load_update(self, update: LoadUpdate) -> None:
        """Merge the loads of a subscriber."""

    def make_demand_reports(self, scope: DemandScope) -> tuple[DemandReport, ...]:
        """Return the reports on demand, also on none; empty without classes."""

    def merge_demands(self, report: DemandReport, *, delay_s: float = 0.0) -> None:
        """Merge the demand of an instance or data centre, delayed in transit."""

    def make_team_reports(self, scope: DemandScope) -> tuple[TeamReport, ...]:
        """Return the reports on teams, also on none; empty without their shares."""

    def merge_teams(self, report: TeamReport, *, delay_s: float = 0.0) -> None:
        """Merge the uses at an instance or data centre, delayed in transit."""

    def make_fleet_report(self, known: Revisions) -> tuple[FleetReport, Revisions]:
        """Return the changes of the fleet since the revisions that a subscriber has,
        and the revisions that it has after this report.
        """

    def make_target_changes(self, after: int) -> TargetChanges | None:
        """Return the changes of targets after a version, `None` if none are known."""

    def merge_fleet_report(self, report: FleetReport, *, delay_s: float = 0.0) -> bool:
        """Merge a hub's report; return whether that worked without a full report."""

    def merge_heartbeat(
        self, heartbeat: Heartbeat, *, delay_s: float = 0.0
    ) -> list[Fetch]:
        """Merge a peer's heartbeat; return the fetches to send to the peer.

        `delay_s` is for how long it was delayed in transit.
        """

    def make_loss_reports(self, targets: Iterable[str]) -> Sequence[LostTargetReport]:
        """Return which of the targets this instance itself finds unreachable."""

    def merge_losses(
        self, losses: Iterable[LostTargetReport], *, source: str, delay_s: float
    ) -> None:
        """Merge which targets an instance found unreachable, delayed in transit."""

    def merge_regained(
        self, reports: Iterable[RegainedTargetReport], *, source: str, delay_s: float
    ) -> None:
        """Merge which targets answer an instance again, delayed in transit."""

    def answer(self, fetch: Fetch) -> Answer | None:
        """Return the answer to a peer's fetch, `None` if there is none."""

    def answer_without_eras(self, fetch: FetchTargets) -> Answer | None:
        """Return the answer to a fetch whose versions are the store's own numbers."""

    def make_kept_changes(self) -> TargetChanges | None:
        """Return the targets that stay as known although the store's copy differs.

        `None` if there are none.
        """

    def merge_snapshot(self, snapshot: Snapshot, *, delay_s: float = 0.0) -> None:
        """Merge the answer of a peer to a fetch, delayed in transit by `delay_s`."""

    def record_supports_compression(self, message: SupportsCompression) -> None:
        """Record that a peer answers fetches of the compressed configuration."""

    def record_deferred(self, message: ConfigurationDeferred) -> None:
        """Record that a peer cannot answer yet, as it is sending to other peers."""

    def repeat_fetch(self, peer: str) -> Fetch | None:
        """Return the fetch to repeat at a peer that deferred it, if still needed."""

    def record_received(self, message: ConfigurationReceived) -> None:
        """Record that a peer has received the configuration sent to it."""

    def handle_link_closed(self, peer: str) -> None:
        """End the transfer to a peer, and a fetch from it: its link has closed."""

    def make_data_centre_report(self, data_centre: str) -> DataCentreReport:
        """Return this instance's report, as a hub, on a data centre."""

    def merge_data_centre(
        self, report: DataCentreReport, *, delay_s: float = 0.0
    ) -> None:
        """Merge the loads in a hub's report on its data centre."""


class PoisonSource(Protocol):
    """The records of crashes that instances exchange."""

    @property
    def is_current(self) -> bool:
        """Whether it has the records that its peers had when it started or woke up."""

    def record_current(self) -> None:
        """Record that a peer has sent all its records."""

    def make_reports(
        self, patterns: Iterable[str] | None = None
    ) -> tuple[PatternReport, ...]:
        """Return the records of the given patterns, by default of all."""

    def merge(
        self, reports: Iterable[PatternReport], *, source: str, delay_s: float
    ) -> list[str]:
        """Merge the records of a peer; return the patterns of which it knew more."""


class LeavingSource(Protocol):
    """The targets that said that they leave, which instances exchange."""

    def make_reports(self) -> tuple[LeavingTargetReport, ...]:
        """Return all of them that this instance knows."""

    def merge(
        self, reports: Iterable[LeavingTargetReport], *, source: str, delay_s: float
    ) -> None:
        """Merge what targets said to an instance, delayed in transit."""


class LimitSource(Protocol):
    """The limits of targets, and the permits for them, that instances exchange."""

    def make_reports(self) -> tuple[TargetLimitReport, ...]:
        """Return all limits that this instance knows."""

    def merge(
        self, reports: Iterable[TargetLimitReport], *, source: str, delay_s: float
    ) -> None:
        """Merge limits that an instance has observed, delayed in transit."""

    def find_owner(self, target: str) -> str | None:
        """Return the name of the instance that keeps the permits of a target."""

    def grant(
        self, target: str, *, instance: str, number: int, milli_per_s: int
    ) -> PermitsGranted:
        """Return the answer of this instance, the owner, to a request for permits."""

    def handle_granted(self, message: PermitsGranted) -> None:
        """Handle the answer of an owner."""


class LoanSource(Protocol):
    """The retries that instances lend each other."""

    def choose_lender(self, service: str, lenders: Collection[str]) -> str | None:
        """Return the address of one that may have a retry, `None` without any."""

    def record_denied(self, service: str, lender: str, *, is_relayed: bool) -> None:
        """Record that a lender, or those that it asked, had no retry left."""

    def record_granted(self, service: str, lender: str) -> None:
        """Record that a lender had a retry."""

    def lend(self, request: RetryLoanRequest) -> RetryLoanAnswer:
        """Return the answer of this instance to a request for retries."""

    def handle_answer(self, answer: RetryLoanAnswer) -> None:
        """Handle the answer to a request of this instance."""


class PromiseSource(Protocol):
    """The promises to rejected callers, which instances exchange."""

    def take_changes(
        self, limit: int
    ) -> tuple[Sequence[ReturnPromise], Sequence[RedeemedPromise]]:
        """Return what was promised and redeemed here and not sent yet.

        At most `limit` of each.
        """

    def make_reports(self, limit: int) -> Sequence[ReturnPromise]:
        """Return at most `limit` of the open promises, those that are due first."""

    def merge(
        self,
        promises: Iterable[ReturnPromise],
        redeemed: Iterable[RedeemedPromise],
        *,
        source: str,
        delay_s: float,
    ) -> None:
        """Merge what a process promised and redeemed, delayed in transit."""
