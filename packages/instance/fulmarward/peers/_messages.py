"""The messages between instances. A message's place in `MESSAGES` is its number.

New messages go to the end, so that instances of two releases understand each other.
"""

from dataclasses import dataclass

from fulmarward_core.configuration import Head
from fulmarward_core.health import LeavingRecord, SummaryRecord
from fulmarward_core.membership import Member


@dataclass(frozen=True, kw_only=True)
class Challenge:
    """The listening side's first word: prove that you know the secret."""

    #: Random bytes that the proof must cover.
    nonce: bytes


@dataclass(frozen=True, kw_only=True)
class Hello:
    """The dialling side's proof, and its own challenge."""

    #: Who dials.
    member: Member
    #: Random bytes that the other side's proof must cover.
    nonce: bytes
    #: Proof of the secret over both nonces and the name.
    proof: bytes


@dataclass(frozen=True, kw_only=True)
class Welcome:
    """The listening side's proof; calls may follow."""

    #: Who listens.
    member: Member
    #: Proof of the secret over both nonces and the name.
    proof: bytes


@dataclass(frozen=True, kw_only=True)
class Nothing:
    """An answer that carries no more than that it came."""


@dataclass(frozen=True, kw_only=True)
class Ping:
    """A heartbeat."""

    #: The sender.
    member: Member
    #: The sender's configuration epoch.
    epoch: int
    #: Digest of the sender's member table.
    digest: int


@dataclass(frozen=True, kw_only=True)
class Pong:
    """The answer to a heartbeat, with the same from the other side."""

    #: The answering instance.
    member: Member
    #: Its configuration epoch.
    epoch: int
    #: Digest of its member table.
    digest: int


@dataclass(frozen=True, kw_only=True)
class SyncMembers:
    """A whole member table, sent when digests differ and answered with the other."""

    #: All members that the sender knows.
    members: tuple[Member, ...]


@dataclass(frozen=True, kw_only=True)
class AskHead:
    """Asks for the head of the configuration in force."""


@dataclass(frozen=True, kw_only=True)
class HeadNews:
    """The head of the configuration in force at the sender."""

    #: The head.
    head: Head


@dataclass(frozen=True, kw_only=True)
class AskBody:
    """Asks for a declaration's body."""

    #: Its content hash.
    content_hash: str


@dataclass(frozen=True, kw_only=True)
class Body:
    """A declaration's body; empty when the sender has none of that hash."""

    #: The JSON text.
    text: bytes


@dataclass(frozen=True, kw_only=True)
class LeavingNews:
    """News of leaving targets; answered with `Nothing`."""

    #: The records that are news.
    records: tuple[LeavingRecord, ...]


@dataclass(frozen=True, kw_only=True)
class LeavingSync:
    """All leaving records, sent when digests differ and answered with the other's."""

    #: All records that the sender has.
    records: tuple[LeavingRecord, ...]


@dataclass(frozen=True, kw_only=True)
class HealthNews:
    """Summaries that the other side lacks; answered with the same."""

    #: Digest of the sender's leaving records.
    digest: int
    #: The summaries.
    summaries: tuple[SummaryRecord, ...]


#: All messages in the order of their numbers.
MESSAGES = (
    Challenge,
    Hello,
    Welcome,
    Nothing,
    Ping,
    Pong,
    SyncMembers,
    AskHead,
    HeadNews,
    AskBody,
    Body,
    LeavingNews,
    LeavingSync,
    HealthNews,
)
