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

#: Seconds without a tick after which an instance was paused. Load: ticks each half
#: second; harm: a woken instance serves by an old file; reason: within three seconds
#: a change need not be in force yet, and a busy event loop is rarely this late.
PAUSE_S = 3.0


def read_pause_clock() -> float:
    """Return a steady clock that goes on while the whole machine is suspended."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


@dataclass(kw_only=True)
class Instance:
    """Everything that the tasks of one instance share."""

    #: The settings in force.
    settings: InstanceSettings
    #: The secrets in force; replaced when the files change.
    secrets: Secrets
    #: The steady clock, seconds from an arbitrary start.
    read_clock: Callable[[], float]
    #: The wall clock, seconds since 1970.
    read_wall_clock: Callable[[], float]
    #: The random numbers that decisions draw from.
    generator: random.Random
    #: The HTTP client towards targets.
    session: aiohttp.ClientSession
    #: The platform.
    platform: Platform
    #: Metrics.
    metrics: Metrics
    #: The log lines of late requests.
    traces: TraceHandler
    #: Starting, serving, stopping or stopped.
    lifecycle: Lifecycle
    #: What this instance says of itself.
    member: Member
    #: All members it knows.
    members: MemberTable
    #: The configuration in force, `EMPTY_SNAPSHOT` before the first.
    snapshot: Snapshot
    #: The manifest and parts in force by content hash, for peers and operators.
    bodies: dict[str, bytes] = field(default_factory=dict)
    #: Set and replaced each time the snapshot changes.
    snapshot_changed: asyncio.Event = field(default_factory=asyncio.Event)
    #: Followed targets by name.
    views: dict[str, TargetView] = field(default_factory=dict)
    #: How long steps of layer pipelines take here, by target.
    step_times: StepTimes = field(default_factory=StepTimes)
    #: Answers by request id, running and lately finished.
    answers: dict[str, Answer] = field(default_factory=dict)
    #: Tasks that outlive the call that began them.
    tasks: set[asyncio.Task] = field(default_factory=set)
    #: Those of them that tell engines to end work.
    closing: set[asyncio.Task] = field(default_factory=set)
    #: TLS towards callers and operators.
    tls: ssl.SSLContext | None = None
    #: Teams by the digest of each of their keys, as old as the snapshot.
    teams_by_digest: dict[str, str] = field(default_factory=dict)
    #: The highest configuration epoch heard of.
    known_epoch: int = 0
    #: Set when a peer told of a newer epoch.
    epoch_heard: asyncio.Event = field(default_factory=asyncio.Event)
    #: Address of the peer that told of it, empty when it was no peer.
    epoch_teller: str = ""
    #: The clock by which pauses are noticed.
    read_pause_clock: Callable[[], float] = read_pause_clock
    #: When the last tick was, on that clock; `None` before the first.
    ticked_at: float | None = None
    #: How often this instance was paused.
    pauses: int = 0
    #: Neighbours in the ring, near ones first, and the table's revision they fit.
    neighbours: list[str] = field(default_factory=list)
    neighbours_revision: int = -1
    #: Set when the first round of greeting peers is over.
    met_peers: asyncio.Event = field(default_factory=asyncio.Event)
    #: Set and replaced when there is news that neighbours should hear at once.
    news_stirred: asyncio.Event = field(default_factory=asyncio.Event)
    #: Set when the instance is to stop.
    stop_asked: asyncio.Event = field(default_factory=asyncio.Event)

    #: What is known of targets that leave.
    leaving: LeavingTable = field(default_factory=LeavingTable)
    #: Leaving records that neighbours have still to hear, and set when there are any.
    unsent_news: list[LeavingRecord] = field(default_factory=list)
    news_came: asyncio.Event = field(default_factory=asyncio.Event)
    #: What became of attempts, by model and version.
    outcomes: OutcomeWindow = field(default_factory=OutcomeWindow)
    #: Set when the first views of targets are made.
    targets_known: asyncio.Event = field(default_factory=asyncio.Event)
    #: Set to have a followed target's report read at once, by target.
    report_hurries: dict[str, asyncio.Event] = field(default_factory=dict)
    #: Summaries by pool (model) and data centre, with the version of each and what
    #: each peer has of them.
    summaries: dict[PoolKey, PoolSummary] = field(default_factory=dict)
    summary_versions: dict[PoolKey, int] = field(default_factory=dict)
    summaries_sent: dict[str, dict[PoolKey, int]] = field(default_factory=dict)

    #: Claims of invented keys that wait for the platform, and the task that writes.
    waiting_claims: "list[PendingClaim]" = field(default_factory=list)
    claim_writer: asyncio.Task | None = None
    #: Claims that stand in the table, by row, as far as met here lately.
    known_claims: dict[str, ClaimRow] = field(default_factory=dict)
    #: Links to peers; `None` only in tests of single tasks.
    links: "PeerLinks | None" = None
    #: Idempotency keys that this instance is the home of.
    key_table: KeyTable = field(default_factory=KeyTable)
    #: Idempotency keys that this instance is the witness of.
    witness_table: WitnessTable = field(default_factory=WitnessTable)
    #: What waits and runs, and what is left of each team's share.
    admission: AdmissionState = field(default_factory=AdmissionState)

    def keep_task(self, task: asyncio.Task) -> None:
        """Hold a task until it ends; the event loop itself holds none."""
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    def keep_closing(self, task: asyncio.Task) -> None:
        """Hold a task that tells an engine to end work; a stop waits for it."""
        self.keep_task(task)
        self.closing.add(task)
        task.add_done_callback(self.closing.discard)

    def adopt_snapshot(self, snapshot: Snapshot) -> None:
        """Put a snapshot in force and wake all who wait for a change."""
        self.snapshot = snapshot
        self.teams_by_digest = {
            digest: name
            for name, team in snapshot.declaration.teams.items()
            for digest in team.key_digests
        }
        self.metrics.epoch.set({}, snapshot.head.epoch)
        self.snapshot_changed.set()
        self.snapshot_changed = asyncio.Event()
        self.stir_news()

    def stir_news(self) -> None:
        """Have neighbours told of news now and not at their next heartbeat."""
        self.news_stirred.set()
        self.news_stirred = asyncio.Event()

    def note_epoch(self, epoch: int, teller: str = "") -> None:
        """Remember an epoch heard of, and wake the adoption if it is news."""
        if epoch > self.known_epoch:
            self.known_epoch = epoch
        if epoch > self.snapshot.head.epoch:
            self.epoch_teller = teller
            self.epoch_heard.set()

    def has_paused(self) -> bool:
        """Return whether the last tick is so long ago that this was paused.

        Guards against the first request after a pause: it may be read before any
        task of the instance has noticed that time has passed.
        """
        if self.ticked_at is None:
            return False
        return self.read_pause_clock() - self.ticked_at > PAUSE_S
