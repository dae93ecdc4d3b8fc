"""The messages between instances. Field names do not travel, their order does."""

from dataclasses import dataclass


@dataclass(frozen=True, kw_only=True)
class MemberTold:
    """An instance as others should know it."""

    #: Name, and when its process started in ms since 1970.
    name: str
    boot: int
    #: Where it stands and can be reached.
    data_centre: str
    peer_address: str
    caller_address: str


@dataclass(frozen=True, kw_only=True)
class LoadTold:
    """What the sender's requests take at one target."""

    target: str
    #: KV cache, tokens times layers.
    kv: int
    running: int
    first_running: int


@dataclass(frozen=True, kw_only=True)
class LossTold:
    """A target that did not answer the sender."""

    target: str
    #: For how much longer the sender leaves it out, in ms.
    for_ms: int


@dataclass(frozen=True, kw_only=True)
class PaceTold:
    """A target that is slow."""

    target: str
    #: Factor on its times, in hundredths.
    percent: int
    #: Milliseconds since its report was read.
    age_ms: int


@dataclass(frozen=True, kw_only=True)
class Beat:
    """A heartbeat: how the sender is, what it knows, and what it takes."""

    sender: MemberTold
    #: Whether it may be given to callers.
    is_ready: bool
    #: Whether it is stopping.
    is_leaving: bool
    #: Version of the configuration in force there, and when that was last confirmed
    #: by the store, in ms ago (-1: never).
    configuration_version: int
    configuration_age_ms: int
    #: Version of the store up to which it knows the targets, and ms since confirmed.
    targets_version: int
    targets_age_ms: int
    #: Whether the store answers it.
    is_store_reachable: bool
    #: Its load, by target.
    loads: tuple[LoadTold, ...]
    #: Targets that it lost.
    losses: tuple[LossTold, ...]
    #: Targets that it believes to be leaving: they refuse although they have room.
    refusing: tuple[str, ...]
    #: Whether streams there look as if a target were slow, and which are.
    sees_slow_streams: bool
    paces: tuple[PaceTold, ...]


@dataclass(frozen=True, kw_only=True)
class InstanceTold:
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


@dataclass(frozen=True, kw_only=True)
class DataCentreNews:
    """The instances of a data centre and what they take, told by a hub."""

    #: Name of the data centre.
    data_centre: str
    #: Its instances.
    instances: tuple[InstanceTold, ...]
    #: Load of all of them together, by target.
    loads: tuple[LoadTold, ...]
    #: Slow targets there.
    paces: tuple[PaceTold, ...]


@dataclass(frozen=True, kw_only=True)
class AskInstances:
    """Ask for all instances that are known; answered by `Introduce`."""


@dataclass(frozen=True, kw_only=True)
class Introduce:
    """The sender, and the instances that it tells of; first message on a link."""

    sender: MemberTold
    known: tuple[MemberTold, ...]


@dataclass(frozen=True, kw_only=True)
class AskConfiguration:
    """Ask for the configuration if it is newer than the sender's.

    For peers that have not said that they understand `AskPackedConfiguration`.
    """

    version: int


@dataclass(frozen=True, kw_only=True)
class RowTold:
    """A row of the store as it was read there."""

    key: str
    version: int
    #: Its bytes, or `None` when it was removed.
    value: bytes | None


@dataclass(frozen=True, kw_only=True)
class ConfigurationNews:
    """The row that holds the configuration."""

    row: RowTold


@dataclass(frozen=True, kw_only=True)
class UnderstandsPacked:
    """The sender understands `AskPackedConfiguration`; told on each link it dials."""

    #: Name of the sender, and when its process started in ms since 1970.
    sender: str
    boot: int


@dataclass(frozen=True, kw_only=True)
class AskPackedConfiguration:
    """Ask for the configuration, packed, if it is newer than the sender's."""

    #: Name of who asks.
    sender: str
    version: int


@dataclass(frozen=True, kw_only=True)
class PackedConfigurationNews:
    """The row that holds the configuration; answered by `ConfigurationHeard`."""

    key: str
    version: int
    #: Its bytes, packed, or `None` when it was removed.
    packed: bytes | None


@dataclass(frozen=True, kw_only=True)
class ConfigurationHeard:
    """The row has come here, whether or not it can be read."""

    sender: str


@dataclass(frozen=True, kw_only=True)
class ConfigurationDeferred:
    """The row goes to others first: ask elsewhere, or later."""

    sender: str


@dataclass(frozen=True, kw_only=True)
class AskTargets:
    """Ask for the targets' rows changed since a version of the store."""

    after: int


@dataclass(frozen=True, kw_only=True)
class TargetsNews:
    """Rows of targets changed between two versions of the store."""

    after: int
    version: int
    #: Milliseconds since the store confirmed that version.
    age_ms: int
    rows: tuple[RowTold, ...]


#: All messages; a message's number is its place. A kind keeps its number and its
#: fields: instances of other code read it while they are replaced one by one. What
#: changes is a new kind at the end, which older code leaves unread.
MESSAGES = (
    Beat,
    Introduce,
    AskConfiguration,
    ConfigurationNews,
    AskTargets,
    TargetsNews,
    DataCentreNews,
    AskInstances,
    ConfigurationHeard,
    ConfigurationDeferred,
    AskPackedConfiguration,
    PackedConfigurationNews,
    UnderstandsPacked,
)
