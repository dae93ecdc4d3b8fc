"""The messages between instances. A message's place in `MESSAGES` is its number.

New messages go to the end, so that instances of two releases understand each other.
"""

from dataclasses import dataclass

from fulmarward_core.admission import DemandRow
from fulmarward_core.configuration import Head
from fulmarward_core.declaration import Urgency
from fulmarward_core.health import LeavingRecord, SummaryRecord
from fulmarward_core.keys import (
    AttemptPlace,
    RecordStep,
    RecordVerdict,
    ResultCopy,
    WitnessRecord,
)
from fulmarward_core.membership import Member
from fulmarward_core.placement import Outcomes
from fulmarward_core.results import Failure


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
    """A heartbeat. Who sends it is known from the link."""

    #: Number of the sender's run.
    boot: int
    #: The sender's version in that run.
    version: int
    #: The sender's configuration epoch.
    epoch: int
    #: Digest of the sender's member table.
    digest: int
    #: Recent changes of members.
    rumours: tuple[Member, ...]


@dataclass(frozen=True, kw_only=True)
class Pong:
    """The answer to a heartbeat, with the same from the other side."""

    #: Number of the answering instance's run.
    boot: int
    #: Its version in that run.
    version: int
    #: Its configuration epoch.
    epoch: int
    #: Digest of its member table.
    digest: int
    #: Recent changes of members.
    rumours: tuple[Member, ...]


@dataclass(frozen=True, kw_only=True)
class SyncMembers:
    """Members that the receiver lacks or knows less of."""

    #: The members.
    members: tuple[Member, ...]


@dataclass(frozen=True, kw_only=True)
class AskHead:
    """Asks for the head of the configuration in force."""


@dataclass(frozen=True, kw_only=True)
class HeadNews:
    """The head of the configuration in force at the sender."""

    #: The head.
    head: Head
    #: Whether the sender is sure that there is no newer one.
    is_confirmed: bool


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


@dataclass(frozen=True, kw_only=True)
class AskMembers:
    """Asks for the members in the buckets that differ; answered by `BucketMembers`."""

    #: Digests of the sender's table by bucket.
    digests: tuple[int, ...]


@dataclass(frozen=True, kw_only=True)
class BucketMembers:
    """The members in the buckets that differ."""

    #: Digests of the sender's table by bucket.
    digests: tuple[int, ...]
    #: The sender's members in the buckets that differ.
    members: tuple[Member, ...]


@dataclass(frozen=True, kw_only=True)
class AskProbe:
    """Asks the receiver to try a member that the sender does not reach."""

    #: The member's name.
    name: str
    #: Where peers reach it.
    peer_address: str


@dataclass(frozen=True, kw_only=True)
class Probed:
    """What the try came to."""

    #: Whether the member answered.
    has_answered: bool


@dataclass(frozen=True, kw_only=True)
class AskOutcomes:
    """Asks what became of attempts on the targets of a model."""

    #: Name of the model.
    model: str


@dataclass(frozen=True, kw_only=True)
class OutcomeCounts:
    """What became of attempts at the sender, by version."""

    #: The counts.
    outcomes: tuple[Outcomes, ...]


@dataclass(frozen=True, kw_only=True)
class AskInFlight:
    """Asks how many requests the other instance has on a target."""

    #: Name of the target.
    target: str


@dataclass(frozen=True, kw_only=True)
class InFlight:
    """How many requests the sender has on the target."""

    #: The number.
    count: int


@dataclass(frozen=True, kw_only=True)
class ForwardCompletion:
    """A completion for the home of its key; answered by parts and an end."""

    #: The boot of the home that is meant.
    boot: int
    #: The idempotency key and the hash of the caller's body.
    key: str
    body_hash: str
    #: Name of the team and of the pipeline.
    team: str
    pipeline: str
    #: The prompt, most tokens and how soon it is needed.
    prompt: str
    max_tokens: int
    urgency: Urgency
    #: Milliseconds until the answer has to be over.
    deadline_ms: int


@dataclass(frozen=True, kw_only=True)
class ForwardCall:
    """A service call for the home of its key; answered by parts and a result."""

    #: The boot of the home that is meant.
    boot: int
    #: The idempotency key and the hash of the call.
    key: str
    body_hash: str
    #: Name of the team and of the service.
    team: str
    service: str
    #: The call.
    method: str
    path: str
    query: str
    body: bytes
    content_type: str
    #: Milliseconds until the answer has to be over.
    deadline_ms: int


@dataclass(frozen=True, kw_only=True)
class AnswerPart:
    """The next events of an answer; none in a sign of life."""

    #: Id of the request.
    request: str
    #: The sealed locator, empty before there is one.
    locator: str
    #: The texts of the events.
    texts: tuple[str, ...]


@dataclass(frozen=True, kw_only=True)
class AnswerEnd:
    """The end of an answer."""

    #: `stop` or `length`; empty for a failure.
    end: str
    #: Why there is no whole answer.
    failure: Failure | None


@dataclass(frozen=True, kw_only=True)
class CallEnd:
    """The end of a service call."""

    #: Id of the request.
    request: str
    #: The service's answer.
    result: ResultCopy | None
    #: Why there is none.
    failure: Failure | None


@dataclass(frozen=True, kw_only=True)
class RecordAttempt:
    """Asks the witness of a key to record an attempt before it is dispatched."""

    #: The boot of the witness that is meant.
    boot: int
    #: The key, the hash of its body and when its time is over.
    key: str
    body_hash: str
    expires_at: float
    #: Id of the request.
    request: str
    #: Where the attempt goes.
    place: AttemptPlace


@dataclass(frozen=True, kw_only=True)
class AttemptRecorded:
    """What the witness says to it."""

    #: Whether the home may dispatch.
    verdict: RecordVerdict


@dataclass(frozen=True, kw_only=True)
class TakeKey:
    """Takes a key over from a home that cannot be reached."""

    #: The boot of the witness that is meant.
    boot: int
    #: The key, the hash of its body and when its time is over.
    key: str
    body_hash: str
    expires_at: float


@dataclass(frozen=True, kw_only=True)
class KeyTaken:
    """What the witness knows of the key."""

    #: The record; `None` when nobody can tell.
    record: WitnessRecord | None
    #: Seconds since its first attempt was recorded, and a margin.
    age_s: float


@dataclass(frozen=True, kw_only=True)
class NoteKey:
    """Tells the witness what became of a request; answered with `Nothing`."""

    #: The boot of the witness that is meant.
    boot: int
    #: The key.
    key: str
    #: What happened.
    step: RecordStep
    #: How it ended badly.
    failure: Failure | None
    #: The answer, of a call that cannot be re-attached.
    answer: ResultCopy | None


@dataclass(frozen=True, kw_only=True)
class ShareDemand:
    """What teams ask for at some instances; answered with the same of the other."""

    #: Rows, the sender's own first.
    rows: tuple[DemandRow, ...]


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
    AskMembers,
    BucketMembers,
    AskProbe,
    Probed,
    AskOutcomes,
    OutcomeCounts,
    AskInFlight,
    InFlight,
    ForwardCompletion,
    ForwardCall,
    AnswerPart,
    AnswerEnd,
    CallEnd,
    RecordAttempt,
    AttemptRecorded,
    TakeKey,
    KeyTaken,
    NoteKey,
    ShareDemand,
)
