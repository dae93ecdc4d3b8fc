"""The state of one instance, shared by its tasks on one event loop."""

import asyncio
import random
import ssl
import time
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

import aiohttp

from fulmarward._lifecycle import Lifecycle
from fulmarward.admission import AdmissionState
from fulmarward.answers import Answer
from fulmarward.observability import Metrics, TraceHandler
from fulmarward.platform import Platform
from fulmarward.settings import InstanceSettings, Secrets
from fulmarward_core.chains import StepTimes
from fulmarward_core.configuration import Snapshot
from fulmarward_core.health import LeavingRecord, LeavingTable, PoolKey, PoolSummary
from fulmarward_core.keys import ClaimRow, KeyTable, WitnessTable
from fulmarward_core.membership import Member, MemberTable
from fulmarward_core.placement import OutcomeWindow
from fulmarward_core.routing import TargetView

if TYPE_CHECKING:
    from fulmarward.keys import PendingClaim
    from fulmarward.peers import PeerLinks

#: Seconds without a tick after which the instance counts as having been paused. An
#: instance that resumes could serve by an outdated configuration. Ticks come each half
#: second; within three seconds a change need not be active yet, and a busy event loop
#: is rarely this late.
PAUSE_S = 3.0


def read_pause_clock() -> float:
    """Return a monotonic clock that also advances while the machine is suspended."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


@dataclass(kw_only=True)
class Instance:
    """The shared state of the tasks of one instance."""

    #: The effective settings.
    settings: InstanceSettings
    #: The current secrets; replaced when the files change.
    secrets: Secrets
    #: The monotonic clock, in seconds from an arbitrary start.
    read_clock: Callable[[], float]
    #: The wall clock, in seconds since 1970.
    read_wall_clock: Callable[[], float]
    #: The random generator for decisions.
    generator: random.Random
    #: The HTTP client for targets.
    session: aiohttp.ClientSession
    #: The client of the platform.
    platform: Platform
    #: The metrics that `/metrics` exports.
    metrics: Metrics
    #: The log lines of recent requests.
    traces: TraceHandler
    #: The state machine from starting to stopped.
    lifecycle: Lifecycle
    #: This instance's own member record.
    member: Member
    #: All known members.
    members: MemberTable
    #: The active configuration; `EMPTY_SNAPSHOT` before the first.
    snapshot: Snapshot
    #: The active manifest and parts by content hash, for peers and operators.
    bodies: dict[str, bytes] = field(default_factory=dict)
    #: Set and replaced each time the snapshot changes.
    snapshot_changed: asyncio.Event = field(default_factory=asyncio.Event)
    #: Followed targets by name.
    views: dict[str, TargetView] = field(default_factory=dict)
    #: Observed step times of layer pipelines, by target.
    step_times: StepTimes = field(default_factory=StepTimes)
    #: Running and recently finished answers by request id.
    answers: dict[str, Answer] = field(default_factory=dict)
    #: Tasks that outlive the call that started them.
    tasks: set[asyncio.Task] = field(default_factory=set)
    #: The subset of `tasks` that tell engines to cancel work.
    closing_tasks: set[asyncio.Task] = field(default_factory=set)
    #: TLS for the listeners of callers and operators.
    tls: ssl.SSLContext | None = None
    #: Teams of the snapshot by the digest of each of their keys.
    teams_by_digest: dict[str, str] = field(default_factory=dict)
    #: The highest configuration epoch known to exist.
    known_epoch: int = 0
    #: Set when a newer epoch becomes known.
    newer_epoch_known: asyncio.Event = field(default_factory=asyncio.Event)
    #: Address of the peer that announced it; empty if it was not a peer.
    epoch_source: str = ""
    #: The clock by which pauses are detected.
    read_pause_clock: Callable[[], float] = read_pause_clock
    #: Time of the last tick on that clock; `None` before the first.
    ticked_at: float | None = None
    #: Number of detected pauses.
    pauses: int = 0
    #: Ring neighbours, near ones first, and the table revision they were computed from.
    neighbours: list[str] = field(default_factory=list)
    neighbours_revision: int = -1
    #: Set when the first round of contacting peers is over.
    peers_contacted: asyncio.Event = field(default_factory=asyncio.Event)
    #: Set and replaced when an update should be sent to the neighbours at once.
    urgent_update: asyncio.Event = field(default_factory=asyncio.Event)
    #: Set when the instance should stop.
    stop_requested: asyncio.Event = field(default_factory=asyncio.Event)

    #: Records of leaving targets.
    leaving: LeavingTable = field(default_factory=LeavingTable)
    #: Leaving records not yet sent to neighbours, and an event set when there are any.
    unsent_records: list[LeavingRecord] = field(default_factory=list)
    records_pending: asyncio.Event = field(default_factory=asyncio.Event)
    #: Outcome counts of attempts, by model and version.
    outcomes: OutcomeWindow = field(default_factory=OutcomeWindow)
    #: Set when the first target views exist.
    targets_known: asyncio.Event = field(default_factory=asyncio.Event)
    #: Events that trigger an immediate read of a followed target's report, by target.
    report_requests: dict[str, asyncio.Event] = field(default_factory=dict)
    #: Summaries by pool (model) and data centre, with the version of each and the
    #: versions that each peer has.
    summaries: dict[PoolKey, PoolSummary] = field(default_factory=dict)
    summary_versions: dict[PoolKey, int] = field(default_factory=dict)
    summaries_sent: dict[str, dict[PoolKey, int]] = field(default_factory=dict)

    #: Claims of caller-generated keys to be written to the platform, and the writing
    #: task.
    waiting_claims: "list[PendingClaim]" = field(default_factory=list)
    claim_writer: asyncio.Task | None = None
    #: Recently seen claims of the platform's table, by row.
    known_claims: dict[str, ClaimRow] = field(default_factory=dict)
    #: Links to peers; `None` only in unit tests of single tasks.
    links: "PeerLinks | None" = None
    #: Idempotency keys for which this instance is the home.
    key_table: KeyTable = field(default_factory=KeyTable)
    #: Idempotency keys for which this instance is the witness.
    witness_table: WitnessTable = field(default_factory=WitnessTable)
    #: Queued and running requests, and the token buckets of teams.
    admission: AdmissionState = field(default_factory=AdmissionState)

    def keep_task(self, task: asyncio.Task) -> None:
        """Keep a reference to a task until it ends; the event loop keeps a weak one."""
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    def keep_closing_task(self, task: asyncio.Task) -> None:
        """Keep a task that cancels work at an engine; a stop waits for it."""
        self.keep_task(task)
        self.closing_tasks.add(task)
        task.add_done_callback(self.closing_tasks.discard)

    def adopt_snapshot(self, snapshot: Snapshot) -> None:
        """Activate a snapshot and wake all tasks that wait for a change."""
        self.snapshot = snapshot
        self.teams_by_digest = {
            digest: name
            for name, team in snapshot.declaration.teams.items()
            for digest in team.key_digests
        }
        self.metrics.epoch.set({}, snapshot.head.epoch)
        self.snapshot_changed.set()
        self.snapshot_changed = asyncio.Event()
        self.request_urgent_heartbeats()

    def request_urgent_heartbeats(self) -> None:
        """Send pending updates to the neighbours now, not at the next heartbeat."""
        self.urgent_update.set()
        self.urgent_update = asyncio.Event()

    def note_epoch(self, epoch: int, source: str = "") -> None:
        """Record a known epoch, and wake the adoption task if it is newer."""
        if epoch > self.known_epoch:
            self.known_epoch = epoch
        if epoch > self.snapshot.head.epoch:
            self.epoch_source = source
            self.newer_epoch_known.set()

    def has_paused(self) -> bool:
        """Return whether the last tick is so long ago that the instance was paused.

        The first request after a pause may be read before any task of the instance has
        detected the pause.
        """
        if self.ticked_at is None:
            return False
        return self.read_pause_clock() - self.ticked_at > PAUSE_S
