"""What the mesh needs from the rest of the instance."""

from dataclasses import dataclass
from typing import Protocol

from fulmarward_router.mesh._messages import (
    CompressedConfiguration,
    ConfigurationDeferred,
    ConfigurationReceived,
    ConfigurationSnapshot,
    DataCentreReport,
    FetchCompressedConfiguration,
    FetchConfiguration,
    FetchTargets,
    FleetLoads,
    FleetReport,
    Heartbeat,
    LoadUpdate,
    SupportsCompression,
    TargetChanges,
)


@dataclass(frozen=True, kw_only=True)
class Revisions:
    """Up to which changes of members, loads and targets a subscriber was told."""

    members: int = -1
    loads: int = -1
    targets: int = -1


#: What a peer is asked for, what it sends for it, and what else it may answer.
Fetch = FetchConfiguration | FetchCompressedConfiguration | FetchTargets
Snapshot = ConfigurationSnapshot | CompressedConfiguration | TargetChanges
Answer = Snapshot | ConfigurationDeferred


class MeshState(Protocol):
    """What the rest of the instance gives to the mesh and takes from it."""

    def make_heartbeat(self, *, has_loads: bool = True) -> Heartbeat:
        """Return this instance's heartbeat, with its loads or without."""

    def has_loads(self) -> bool:
        """Return whether requests run here."""

    def get_loads_revision(self) -> int:
        """Return the number of the last change of the own loads."""

    def make_fleet_loads(self, after: int) -> tuple[FleetLoads | None, int]:
        """Return the loads that changed after a revision, `None` if none did, and the
        revision now.
        """

    def merge_fleet_loads(self, report: FleetLoads) -> bool:
        """Take in a hub's loads; return whether that was possible without all others
        first.
        """

    def make_load_update(self) -> LoadUpdate:
        """Return this instance's loads, for the hubs that it follows."""

    def merge_load_update(self, update: LoadUpdate) -> None:
        """Take in the loads of a subscriber."""

    def make_fleet_report(self, told: Revisions) -> tuple[FleetReport, Revisions]:
        """Return what changed of the fleet since a subscriber was told, and up to where
        it is told by that.
        """

    def make_target_changes(self, after: int) -> TargetChanges | None:
        """Return the changes of targets since a version, `None` if there are none."""

    def merge_fleet_report(self, report: FleetReport) -> bool:
        """Take in a hub's report; return whether a full one is needed first."""

    def merge_heartbeat(self, heartbeat: Heartbeat) -> list[Fetch]:
        """Take in a peer's heartbeat; return what to ask that peer for."""

    def answer(self, fetch: Fetch) -> Answer | None:
        """Return the answer to a peer's fetch, `None` if there is none."""

    def merge_snapshot(self, snapshot: Snapshot) -> None:
        """Take in what a peer answered."""

    def note_supports_compression(self, message: SupportsCompression) -> None:
        """Take in that a peer may be asked for the packed configuration."""

    def note_deferred(self, message: ConfigurationDeferred) -> None:
        """Take in that a peer sends to others first."""

    def note_received(self, message: ConfigurationReceived) -> None:
        """Take in that a snapshot was received by a peer."""

    def note_link_lost(self, peer: str) -> None:
        """The link that a peer dialled has ended, and what was fetched on it."""

    def make_data_centre_report(self, data_centre: str) -> DataCentreReport:
        """Return what this instance, as a hub, reports on a data centre."""

    def merge_data_centre(self, report: DataCentreReport) -> None:
        """Take in the loads that a hub reports."""
