"""The messages between instances. They are encoded by position, without names."""

from fulmarward_core.codec import Message


class InstanceIdentity(Message, kw_only=True):
    """The name, start time and addresses of an instance."""

    name: str
    #: When its process started, in ms since 1970.
    boot: int
    data_centre: str
    peer_address: str
    caller_address: str


class LoadReport(Message, kw_only=True):
    """The load of the sender's requests on one target."""

    target: str
    #: KV cache in use, in tokens times layers.
    kv: int
    running: int
    first_running: int


class FailureReport(Message, kw_only=True):
    """A target that failed to answer the sender."""

    target: str
    #: Milliseconds for which the sender still excludes it.
    for_ms: int


class PaceReport(Message, kw_only=True):
    """A target that is slow."""

    target: str
    #: The factor by which it is slower, in percent.
    percent: int
    #: Milliseconds since the target's report was read.
    age_ms: int


class Heartbeat(Message, kw_only=True):
    """The state of the sender, the versions that it has, and its loads."""

    sender: InstanceIdentity
    #: Whether callers may be sent to it.
    is_ready: bool
    #: Whether it is stopping.
    is_leaving: bool
    #: Version of the configuration in force there, and ms since the store last
    #: confirmed it (-1: never).
    configuration_version: int
    configuration_age_ms: int
    #: Version of the store after which it knows of no change of the targets' content,
    #: and ms since that was confirmed (-1: never).
    targets_version: int
    targets_age_ms: int
    is_store_reachable: bool
    #: The loads of its requests, one for each target.
    loads: tuple[LoadReport, ...]
    #: Targets that failed to answer it.
    losses: tuple[FailureReport, ...]
    #: Targets that it presumes to be leaving: they refuse although they have capacity.
    refusing: tuple[str, ...]
    #: Whether its streams indicate a slow target, and the targets known to be slow.
    sees_slow_streams: bool
    paces: tuple[PaceReport, ...]


class InstanceReport(Message, kw_only=True):
    """What a hub last heard of an instance."""

    name: str
    #: When its process started, in ms since 1970.
    boot: int
    #: Milliseconds since the sender last heard of it or lost its link.
    age_ms: int
    #: Whether it is considered alive; the other flags are meaningless otherwise.
    is_alive: bool
    #: What its last heartbeat said.
    is_ready: bool
    is_leaving: bool
    is_store_reachable: bool


class DataCentreReport(Message, kw_only=True):
    """A hub's report on the instances and loads of a data centre."""

    data_centre: str
    instances: tuple[InstanceReport, ...]
    #: Their total load on each target.
    loads: tuple[LoadReport, ...]
    paces: tuple[PaceReport, ...]


class FetchInstances(Message, kw_only=True):
    """Requests the instances that the peer knows; answered by `Introduction`."""


class Introduction(Message, kw_only=True):
    """The sender and the instances that it knows; the first message on a link."""

    sender: InstanceIdentity
    known: tuple[InstanceIdentity, ...]


class FetchConfiguration(Message, kw_only=True):
    """Requests the configuration if it is newer than the sender's.

    For peers that have not sent `SupportsCompression`.
    """

    version: int


class RowSnapshot(Message, kw_only=True):
    """A row as it was read from the store."""

    key: str
    version: int
    #: `None` if the row was deleted.
    value: bytes | None


class ConfigurationSnapshot(Message, kw_only=True):
    """The row that holds the configuration."""

    row: RowSnapshot


class SupportsCompression(Message, kw_only=True):
    """The sender answers `FetchCompressedConfiguration`; sent on each link it dials."""

    sender: str
    #: When its process started, in ms since 1970.
    boot: int


class FetchCompressedConfiguration(Message, kw_only=True):
    """Requests the compressed configuration if it is newer than the sender's."""

    sender: str
    version: int


class CompressedConfiguration(Message, kw_only=True):
    """The row that holds the configuration; answered by `ConfigurationReceived`."""

    key: str
    version: int
    #: The compressed value, `None` if the row was deleted.
    packed: bytes | None


class ConfigurationReceived(Message, kw_only=True):
    """Acknowledges a `CompressedConfiguration`, whether or not it can be decoded."""

    sender: str


class ConfigurationDeferred(Message, kw_only=True):
    """The sender is sending to other peers: ask another one, or later."""

    sender: str


class FetchTargets(Message, kw_only=True):
    """Requests the rows of targets that changed after a version of the store."""

    after: int


class TargetChanges(Message, kw_only=True):
    """The rows of targets that changed between two versions of the store."""

    after: int
    version: int
    #: Milliseconds since the store confirmed that version.
    age_ms: int
    rows: tuple[RowSnapshot, ...]


class Subscription(Message, kw_only=True):
    """Says what the sender wants to receive on a link; sent on each link it dials.

    Its sender need not be dialled. A later one on the same link replaces it.
    """

    sender: str
    #: When its process started, in ms since 1970.
    boot: int
    #: Whether the peer sends heartbeats on the link, and whether as fleet reports, of
    #: which the first one is full.
    wants_heartbeats: bool
    wants_reports: bool


class SupportsSendTimes(Message, kw_only=True):
    """The sender reads and sends `SendTime`; exchanged on each link."""

    sender: str
    #: When its process started, in ms since 1970.
    boot: int


class SendTime(Message, kw_only=True):
    """When the messages that follow on the link were made.

    Sent only to peers that have sent `SupportsSendTimes`.
    """

    #: Milliseconds on the sender's monotonic clock.
    sent_ms: int
    #: Smallest difference in ms between the sender's clock at the arrival of the
    #: receiver's messages and their `sent_ms`; `None` before the first.
    offset_ms: int | None


class LoadUpdate(Message, kw_only=True):
    """The loads of the sender, for a hub."""

    sender: str
    #: Increases with each update, also across restarts.
    sequence: int
    loads: tuple[LoadReport, ...]


class MemberReport(Message, kw_only=True):
    """The state of an instance in a hub's fleet report."""

    identity: InstanceIdentity
    #: Whether it is considered alive; the other flags are meaningless otherwise.
    is_alive: bool
    is_ready: bool
    is_leaving: bool
    is_store_reachable: bool


class DataCentreAge(Message, kw_only=True):
    """The time since a hub last heard of a data centre."""

    data_centre: str
    age_ms: int


class IncludedUpdate(Message, kw_only=True):
    """The newest load update of an instance that a hub's loads include."""

    instance: str
    sequence: int


class FleetReport(Message, kw_only=True):
    """A hub's report on the fleet; sent in place of heartbeats to its subscribers."""

    #: The hub's own heartbeat, without loads.
    heartbeat: Heartbeat
    #: Whether it is complete, or only has the changes since the last one on the link.
    is_full: bool
    members: tuple[MemberReport, ...]
    #: The age for each data centre; instances that are not listed are unchanged.
    ages: tuple[DataCentreAge, ...]
    #: Total load of all instances on each target; zeros for one without load.
    loads: tuple[LoadReport, ...]
    included: tuple[IncludedUpdate, ...]
    #: Targets that failed to answer instances of the data centre, and those that these
    #: presume to be leaving.
    losses: tuple[FailureReport, ...]
    refusing: tuple[str, ...]


class FleetLoads(Message, kw_only=True):
    """The loads that changed since the last report of a hub on the link."""

    sender: str
    loads: tuple[LoadReport, ...]
    included: tuple[IncludedUpdate, ...]


class CrashReport(Message, kw_only=True):
    """A target that crashed while a request with a pattern may have been the cause."""

    target: str
    #: Team of the request, empty if it has none.
    team: str
    #: Milliseconds since the crash.
    age_ms: int
    #: As in `fulmarward_core.poison.CrashRecord`.
    is_strong: bool
    is_trusted: bool
    is_cleared: bool


class PatternReport(Message, kw_only=True):
    """The crashes that a pattern of prompts may have caused."""

    pattern: str
    #: Milliseconds since it was last in a request that crashed or was rejected.
    seen_age_ms: int
    crashes: tuple[CrashReport, ...]


class PoisonReport(Message, kw_only=True):
    """Records of crashes that changed; relayed by those to whom they are new."""

    sender: str
    patterns: tuple[PatternReport, ...]


class FetchPoison(Message, kw_only=True):
    """Requests all records of crashes; answered by `PoisonSnapshot`."""

    sender: str


class PoisonSnapshot(Message, kw_only=True):
    """All records of crashes that the sender has."""

    sender: str
    #: Whether the sender itself has had the records of its peers since its start.
    is_current: bool
    patterns: tuple[PatternReport, ...]


class TargetLimitReport(Message, kw_only=True):
    """What a target says of the requests that it accepts."""

    target: str
    #: Thousandths of a request a second, from all instances together; -1 without limit.
    milli_per_s: int
    #: Milliseconds since the answer that says so.
    age_ms: int


class LimitReport(Message, kw_only=True):
    """Limits that changed at an instance; each instance relays it once."""

    #: The instance that observed the change, and when its process started, in ms since
    #: 1970.
    origin: str
    boot: int
    #: Increases with each report of that process; 0 for one that is not relayed.
    sequence: int
    limits: tuple[TargetLimitReport, ...]


class FetchLimits(Message, kw_only=True):
    """Requests all limits that the peer knows; answered by `LimitReport`."""


class PermitRequest(Message, kw_only=True):
    """Requests permits to send to a target; answered by `PermitsGranted`."""

    sender: str
    #: Number of the request, new for each one of its sender.
    number: int
    target: str
    #: The limit as the sender knows it, as in `TargetLimitReport`.
    milli_per_s: int
    #: Whether a hub relays it to the owner, to which its sender has no link.
    is_relayed: bool


class PermitsGranted(Message, kw_only=True):
    """The answer of the owner of a target's permits."""

    number: int
    #: Number of requests that may be sent, and ms to wait before the next request.
    count: int
    wait_ms: int


class LeavingTargetReport(Message, kw_only=True):
    """A target that said in an answer that it leaves."""

    target: str
    #: Name of its process, as `fulmarward_core.fleet.TargetRecord.process_name`.
    process: str
    #: Milliseconds since the answer.
    age_ms: int


class LeavingReport(Message, kw_only=True):
    """Targets that said to an instance that they leave; each one relays it once."""

    #: As in `LimitReport`.
    origin: str
    boot: int
    sequence: int
    targets: tuple[LeavingTargetReport, ...]


class RegainedTargetReport(Message, kw_only=True):
    """A target that answers an instance which had found it silent."""

    target: str
    #: Milliseconds since the probe that it answered was sent.
    age_ms: int


class RegainedReport(Message, kw_only=True):
    """Targets that answer again; each instance relays it once."""

    #: As in `LimitReport`.
    origin: str
    boot: int
    sequence: int
    targets: tuple[RegainedTargetReport, ...]


class SupportsStoreEras(Message, kw_only=True):
    """The sender's versions name eras of the store, and it reads those that do.

    Exchanged on each link. Other peers get the store's own numbers.
    """

    sender: str


class ClassDemandReport(Message, kw_only=True):
    """The demand for one service with one urgency, rounded up.

    The amounts are as in `fulmarward_core.demand.ClassDemand`.
    """

    service: str
    urgency: int
    on_time_kv: int
    late_kv: int
    arriving_kv_per_s: int
    released_kv_per_s: int
    promised_kv: int


class DemandReport(Message, kw_only=True):
    """The demand of an instance, or of all instances of a data centre."""

    #: Name of the instance or data centre.
    source: str
    is_data_centre: bool
    #: When the process of the instance started, in ms since 1970; 0 for a data centre.
    boot: int
    #: Milliseconds since the report was made, rounded up.
    age_ms: int
    #: One for each class; none if there is no demand any more.
    demands: tuple[ClassDemandReport, ...]


class ReturnPromise(Message, kw_only=True):
    """Capacity that is promised to a rejected caller when it returns."""

    #: The process that made it, as `fulmarward_router.mesh.name_process`, empty for the
    #: origin of the message; and the number of the promise there.
    source: str
    number: int
    #: As `fulmarward_core.waits.shorten_fingerprint`.
    fingerprint: bytes
    service: str
    urgency: int
    #: KV cache that the request needs, in tokens times layers.
    kv: int
    #: Milliseconds until it is due; negative after that.
    due_ms: int


class RedeemedPromise(Message, kw_only=True):
    """A promise whose caller has returned and been served."""

    #: As in `ReturnPromise`.
    source: str
    number: int


class ReturnPromises(Message, kw_only=True):
    """Promises made and redeemed at an instance; each instance relays them once."""

    #: As in `LimitReport`.
    origin: str
    boot: int
    sequence: int
    promises: tuple[ReturnPromise, ...]
    redeemed: tuple[RedeemedPromise, ...]


class TeamUseReport(Message, kw_only=True):
    """What one team uses of a service with one urgency, rounded up.

    The amounts are as in `fulmarward_core.team_shares.TeamUse`.
    """

    service: str
    urgency: int
    #: Name of the team, empty for requests without one; at most 256 bytes.
    team: str
    used_kv: int
    waiting_kv: int


class TeamReport(Message, kw_only=True):
    """What the teams use at an instance, or at all instances of a data centre."""

    #: As in `DemandReport`.
    source: str
    is_data_centre: bool
    boot: int
    age_ms: int
    #: One for each team of a class that waits; none if no class waits any more.
    uses: tuple[TeamUseReport, ...]


class LostTargetReport(Message, kw_only=True):
    """A target that an instance found unreachable by itself."""

    target: str
    #: Milliseconds for which the instance still excludes it.
    for_ms: int
    #: Milliseconds since the instance last observed the failure.
    age_ms: int
    #: Whether connections to it are refused or break off, rather than stay silent.
    is_closed: bool


class LossReport(Message, kw_only=True):
    """Targets just found unreachable in a large fleet; each instance relays them once.

    Heartbeats report them as well, in all fleets.
    """

    #: As in `LimitReport`.
    origin: str
    boot: int
    sequence: int
    losses: tuple[LostTargetReport, ...]


class RetryLoanRequest(Message, kw_only=True):
    """Requests unused retries for started answers; answered by `RetryLoanAnswer`."""

    #: The instance that needs them, and when its process started, in ms since 1970.
    borrower: str
    boot: int
    #: Number of the request, new for each one of that process.
    number: int
    service: str
    #: Number of retries that it needs.
    count: int
    #: Whether a hub relays it.
    is_relayed: bool


class RetryLoanAnswer(Message, kw_only=True):
    """Retries that an instance lends, for a short time after they were requested."""

    #: As in the request.
    borrower: str
    boot: int
    number: int
    #: Number of retries that the borrower may use.
    count: int
    #: Whether a hub relayed the request.
    is_relayed: bool


#: All messages; the number of a message on the wire is its index here. A message keeps
#: its number and its fields, as instances of different releases exchange it during a
#: rolling update. A change is a new message at the end, which older releases ignore.
MESSAGES = (
    Heartbeat,
    Introduction,
    FetchConfiguration,
    ConfigurationSnapshot,
    FetchTargets,
    TargetChanges,
    DataCentreReport,
    FetchInstances,
    ConfigurationReceived,
    ConfigurationDeferred,
    FetchCompressedConfiguration,
    CompressedConfiguration,
    SupportsCompression,
    Subscription,
    LoadUpdate,
    FleetReport,
    FleetLoads,
    SupportsSendTimes,
    SendTime,
    PoisonReport,
    FetchPoison,
    PoisonSnapshot,
    LimitReport,
    FetchLimits,
    PermitRequest,
    PermitsGranted,
    LeavingReport,
    RegainedReport,
    SupportsStoreEras,
    DemandReport,
    ReturnPromises,
    TeamReport,
    LossReport,
    RetryLoanRequest,
    RetryLoanAnswer,
)
