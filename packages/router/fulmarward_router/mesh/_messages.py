"""The messages between instances. Field names do not travel, their order does."""

from fulmarward_core.codec import Message


class InstanceIdentity(Message, kw_only=True):
    """An instance as others should know it."""

    #: Name, and when its process started in ms since 1970.
    name: str
    boot: int
    #: Where it stands and can be reached.
    data_centre: str
    peer_address: str
    caller_address: str


class LoadReport(Message, kw_only=True):
    """What the sender's requests take at one target."""

    target: str
    #: KV cache, tokens times layers.
    kv: int
    running: int
    first_running: int


class FailureReport(Message, kw_only=True):
    """A target that did not answer the sender."""

    target: str
    #: For how much longer the sender leaves it out, in ms.
    for_ms: int


class PaceReport(Message, kw_only=True):
    """A target that is slow."""

    target: str
    #: Factor on its times, in hundredths.
    percent: int
    #: Milliseconds since its report was read.
    age_ms: int


class Heartbeat(Message, kw_only=True):
    """A heartbeat: how the sender is, what it knows, and what it takes."""

    sender: InstanceIdentity
    #: Whether it may be given to callers.
    is_ready: bool
    #: Whether it is stopping.
    is_leaving: bool
    #: Version of the configuration in force there, and when that was last confirmed
    #: by the store, in ms ago (-1: never).
    configuration_version: int
    configuration_age_ms: int
    #: Version of the store after which it knows of no change of the targets, and ms
    #: since that was confirmed.
    targets_version: int
    targets_age_ms: int
    #: Whether the store answers it.
    is_store_reachable: bool
    #: Its load, by target.
    loads: tuple[LoadReport, ...]
    #: Targets that it lost.
    losses: tuple[FailureReport, ...]
    #: Targets that it believes to be leaving: they refuse although they have room.
    refusing: tuple[str, ...]
    #: Whether streams there look as if a target were slow, and which are.
    sees_slow_streams: bool
    paces: tuple[PaceReport, ...]


class InstanceReport(Message, kw_only=True):
    """What the sender last heard of another instance."""

    #: Name, and when its process started in ms since 1970.
    name: str
    boot: int
    #: Milliseconds since the sender last heard of it, or lost its link.
    age_ms: int
    #: Whether it lives, as far as known; the rest says nothing otherwise.
    is_alive: bool
    #: What its last heartbeat said.
    is_ready: bool
    is_leaving: bool
    is_store_reachable: bool


class DataCentreReport(Message, kw_only=True):
    """The instances of a data centre and what they take, told by a hub."""

    #: Name of the data centre.
    data_centre: str
    #: Its instances.
    instances: tuple[InstanceReport, ...]
    #: Load of all of them together, by target.
    loads: tuple[LoadReport, ...]
    #: Slow targets there.
    paces: tuple[PaceReport, ...]


class FetchInstances(Message, kw_only=True):
    """Ask for all instances that are known; answered by `Introduction`."""


class Introduction(Message, kw_only=True):
    """The sender, and the instances that it tells of; first message on a link."""

    sender: InstanceIdentity
    known: tuple[InstanceIdentity, ...]


class FetchConfiguration(Message, kw_only=True):
    """Ask for the configuration if it is newer than the sender's.

    For peers that have not said that they understand `FetchCompressedConfiguration`.
    """

    version: int


class RowSnapshot(Message, kw_only=True):
    """A row of the store as it was read there."""

    key: str
    version: int
    #: Its bytes, or `None` when it was removed.
    value: bytes | None


class ConfigurationSnapshot(Message, kw_only=True):
    """The row that holds the configuration."""

    row: RowSnapshot


class SupportsCompression(Message, kw_only=True):
    """The sender accepts compressed configurations; sent on each link it dials."""

    #: Name of the sender, and when its process started in ms since 1970.
    sender: str
    boot: int


class FetchCompressedConfiguration(Message, kw_only=True):
    """Ask for the configuration, packed, if it is newer than the sender's."""

    #: Name of who asks.
    sender: str
    version: int


class CompressedConfiguration(Message, kw_only=True):
    """The row that holds the configuration; answered by `ConfigurationReceived`."""

    key: str
    version: int
    #: Its bytes, packed, or `None` when it was removed.
    packed: bytes | None


class ConfigurationReceived(Message, kw_only=True):
    """The row has come here, whether or not it can be read."""

    sender: str


class ConfigurationDeferred(Message, kw_only=True):
    """The row goes to others first: ask elsewhere, or later."""

    sender: str


class FetchTargets(Message, kw_only=True):
    """Ask for the targets' rows changed since a version of the store."""

    after: int


class TargetChanges(Message, kw_only=True):
    """Rows of targets changed between two versions of the store."""

    after: int
    version: int
    #: Milliseconds since the store confirmed that version.
    age_ms: int
    rows: tuple[RowSnapshot, ...]


class Subscription(Message, kw_only=True):
    """Ask for heartbeats on a link that the sender dialled; sent on each of them.

    Whoever sends it need not be dialled. A later one on the same link replaces it.
    """

    #: Name of the sender, and when its process started in ms since 1970.
    sender: str
    boot: int
    #: Whether heartbeats are to come back on the link, and whether with reports on the
    #: fleet, of which the first one is full.
    wants_heartbeats: bool
    wants_reports: bool


class LoadUpdate(Message, kw_only=True):
    """The sender's own loads, for a hub."""

    sender: str
    #: Rises with each update, over restarts as well.
    sequence: int
    loads: tuple[LoadReport, ...]


class MemberReport(Message, kw_only=True):
    """An instance as a hub knows it."""

    identity: InstanceIdentity
    #: Whether it lives, as far as known; the rest says nothing otherwise.
    is_alive: bool
    is_ready: bool
    is_leaving: bool
    is_store_reachable: bool


class DataCentreAge(Message, kw_only=True):
    """For how long a hub has had no news of a data centre."""

    data_centre: str
    age_ms: int


class IncludedUpdate(Message, kw_only=True):
    """The newest load update of an instance that a hub has added up."""

    instance: str
    sequence: int


class FleetReport(Message, kw_only=True):
    """What a hub knows of the fleet; sent to its subscribers in place of heartbeats."""

    #: The hub's own heartbeat, without loads.
    heartbeat: Heartbeat
    #: Whether all is listed, or only what changed since the last report on the link.
    is_full: bool
    members: tuple[MemberReport, ...]
    #: Instances that are not listed are as they were reported, as of this age.
    ages: tuple[DataCentreAge, ...]
    #: Load of all instances together, by target; a target without load has zeros.
    loads: tuple[LoadReport, ...]
    included: tuple[IncludedUpdate, ...]
    #: Targets that instances of the data centre lost, and that they believe to be
    #: leaving.
    losses: tuple[FailureReport, ...]
    refusing: tuple[str, ...]


class FleetLoads(Message, kw_only=True):
    """The loads that changed since a hub's last report on the link."""

    #: Name of the hub.
    sender: str
    loads: tuple[LoadReport, ...]
    included: tuple[IncludedUpdate, ...]


#: All messages; a message's number is its place. A kind keeps its number and its
#: fields: instances of other code read it while they are replaced one by one. What
#: changes is a new kind at the end, which older code leaves unread.
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
)
