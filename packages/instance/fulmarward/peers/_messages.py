"""The messages between instances. The position in `MESSAGES` is the message number.

New messages are appended, so that instances of different releases understand each
other.
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
    """The listening side's challenge, the first message on a link."""

    #: Random bytes that the proof must cover.
    nonce: bytes


@dataclass(frozen=True, kw_only=True)
class Hello:
    """The dialling side's proof and its own challenge."""

    #: The dialling instance.
    member: Member
    #: Random bytes that the other side's proof must cover.
    nonce: bytes
    #: Proof of the secret over both nonces and the name.
    proof: bytes


@dataclass(frozen=True, kw_only=True)
class Welcome:
    """The listening side's proof; calls may follow."""

    #: The listening instance.
    member: Member
    #: Proof of the secret over both nonces and the name.
    proof: bytes


@dataclass(frozen=True, kw_only=True)
class Ack:
    """An empty acknowledgement."""


@dataclass(frozen=True, kw_only=True)
class Ping:
    """A heartbeat. The link identifies its sender."""

    #: Boot number of the sender.
    boot: int
    #: Version of the sender's member record within that boot.
    version: int
    #: The sender's configuration epoch.
    epoch: int
    #: Digest of the sender's member table.
    digest: int
    #: Recently changed member records.
    rumours: tuple[Member, ...]


@dataclass(frozen=True, kw_only=True)
class Pong:
    """The answer to a heartbeat, with the same fields for the answering side."""

    #: Boot number of the answering instance.
    boot: int
    #: Version of its member record within that boot.
    version: int
    #: Its configuration epoch.
    epoch: int
    #: Digest of its member table.
    digest: int
    #: Recently changed member records.
    rumours: tuple[Member, ...]


@dataclass(frozen=True, kw_only=True)
class SyncMembers:
    """Member records that the receiver lacks or has in an older version."""

    #: The records.
    members: tuple[Member, ...]


@dataclass(frozen=True, kw_only=True)
class HeadRequest:
    """Requests the head of the active configuration."""


@dataclass(frozen=True, kw_only=True)
class HeadReply:
    """The head of the sender's active configuration."""

    #: The head.
    head: Head
    #: Whether the sender has confirmed that there is no newer one.
    is_confirmed: bool


@dataclass(frozen=True, kw_only=True)
class BodyRequest:
    """Requests a declaration's body."""

    #: The body's content hash.
    content_hash: str


@dataclass(frozen=True, kw_only=True)
class BodyReply:
    """A declaration's body; empty if the sender has none with that hash."""

    #: The JSON text.
    text: bytes


@dataclass(frozen=True, kw_only=True)
class LeavingUpdate:
    """New records of leaving targets; answered with `Ack`."""

    #: The new records.
    records: tuple[LeavingRecord, ...]


@dataclass(frozen=True, kw_only=True)
class LeavingSync:
    """All leaving records, sent when digests differ; answered with the receiver's."""

    #: All records of the sender.
    records: tuple[LeavingRecord, ...]


@dataclass(frozen=True, kw_only=True)
class SummaryExchange:
    """Summaries that the receiver lacks; answered with those the sender lacks."""

    #: Digest of the sender's leaving records.
    digest: int
    #: The summaries.
    summaries: tuple[SummaryRecord, ...]


@dataclass(frozen=True, kw_only=True)
class MembersRequest:
    """Requests the members of differing buckets; answered with `MembersReply`."""

    #: Digests of the sender's table by bucket.
    digests: tuple[int, ...]


@dataclass(frozen=True, kw_only=True)
class MembersReply:
    """The members of the buckets whose digests differ."""

    #: Digests of the sender's table by bucket.
    digests: tuple[int, ...]
    #: The sender's members in the buckets that differ.
    members: tuple[Member, ...]


@dataclass(frozen=True, kw_only=True)
class ProbeRequest:
    """Asks the receiver to probe a member that the sender cannot reach."""

    #: The member's name.
    name: str
    #: The member's address for peers.
    peer_address: str


@dataclass(frozen=True, kw_only=True)
class ProbeReply:
    """The result of a probe."""

    #: Whether the member answered.
    has_answered: bool


@dataclass(frozen=True, kw_only=True)
class OutcomesRequest:
    """Requests the outcome counts of attempts on a model's targets."""

    #: Name of the model.
    model: str


@dataclass(frozen=True, kw_only=True)
class OutcomesReply:
    """Outcome counts of the sender's attempts, by model version."""

    #: The counts.
    outcomes: tuple[Outcomes, ...]


@dataclass(frozen=True, kw_only=True)
class InFlightRequest:
    """Requests the number of requests that the receiver has on a target."""

    #: Name of the target.
    target: str


@dataclass(frozen=True, kw_only=True)
class InFlightReply:
    """The number of requests that the sender has on the target."""

    #: The number.
    count: int


@dataclass(frozen=True, kw_only=True)
class ForwardCompletion:
    """A completion for the home instance of its key.

    Answered with `AnswerPart` messages and an `AnswerEnd`.
    """

    #: The boot number of the home that is meant.
    boot: int
    #: The idempotency key and the hash of the caller's body.
    key: str
    body_hash: str
    #: Names of the team and the pipeline.
    team: str
    pipeline: str
    #: The prompt, the token limit and the urgency.
    prompt: str
    max_tokens: int
    urgency: Urgency
    #: Milliseconds until the answer has to be over.
    deadline_ms: int


@dataclass(frozen=True, kw_only=True)
class ForwardCall:
    """A service call for the home instance of its key.

    Answered with `AnswerPart` messages and a `CallEnd`.
    """

    #: The boot number of the home that is meant.
    boot: int
    #: The idempotency key and the hash of the call.
    key: str
    body_hash: str
    #: Names of the team and the service.
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
    """The next events of an answer, or none as a heartbeat of the home."""

    #: Id of the request.
    request: str
    #: The sealed locator; empty while there is none.
    locator: str
    #: The texts of the events.
    texts: tuple[str, ...]


@dataclass(frozen=True, kw_only=True)
class AnswerEnd:
    """The end of an answer."""

    #: `stop` or `length`; empty for a failure.
    end: str
    #: Why the answer is incomplete, or `None`.
    failure: Failure | None


@dataclass(frozen=True, kw_only=True)
class CallEnd:
    """The end of a service call."""

    #: Id of the request.
    request: str
    #: The service's answer, or `None` on failure.
    result: ResultCopy | None
    #: The failure, or `None`.
    failure: Failure | None


@dataclass(frozen=True, kw_only=True)
class RecordAttempt:
    """Asks the witness of a key to record an attempt before it is dispatched."""

    #: The boot number of the witness that is meant.
    boot: int
    #: The key, the hash of its body and its expiry time.
    key: str
    body_hash: str
    expires_at: float
    #: Id of the request.
    request: str
    #: Destination of the attempt.
    place: AttemptPlace


@dataclass(frozen=True, kw_only=True)
class RecordAttemptReply:
    """The witness's answer to `RecordAttempt`."""

    #: Whether the home may dispatch the attempt.
    verdict: RecordVerdict


@dataclass(frozen=True, kw_only=True)
class TakeKey:
    """Takes over a key from an unreachable home."""

    #: The boot number of the witness that is meant.
    boot: int
    #: The key, the hash of its body and its expiry time.
    key: str
    body_hash: str
    expires_at: float


@dataclass(frozen=True, kw_only=True)
class TakeKeyReply:
    """The witness's record of the key."""

    #: The record; `None` when the key's history is unknown.
    record: WitnessRecord | None
    #: Seconds since its first attempt was recorded, plus a margin.
    age_s: float


@dataclass(frozen=True, kw_only=True)
class UpdateKeyRecord:
    """Reports the progress of a request to the witness; answered with `Ack`."""

    #: The boot number of the witness that is meant.
    boot: int
    #: The key.
    key: str
    #: The step that the request has reached.
    step: RecordStep
    #: Why the request failed, or `None`.
    failure: Failure | None
    #: The answer, of a call that cannot be re-attached.
    answer: ResultCopy | None


@dataclass(frozen=True, kw_only=True)
class ShareDemand:
    """Teams' demand at some instances; answered with the receiver's rows."""

    #: Rows, the sender's own first.
    rows: tuple[DemandRow, ...]


#: All messages, in the order of their numbers.
MESSAGES = (
    Challenge,
    Hello,
    Welcome,
    Ack,
    Ping,
    Pong,
    SyncMembers,
    HeadRequest,
    HeadReply,
    BodyRequest,
    BodyReply,
    LeavingUpdate,
    LeavingSync,
    SummaryExchange,
    MembersRequest,
    MembersReply,
    ProbeRequest,
    ProbeReply,
    OutcomesRequest,
    OutcomesReply,
    InFlightRequest,
    InFlightReply,
    ForwardCompletion,
    ForwardCall,
    AnswerPart,
    AnswerEnd,
    CallEnd,
    RecordAttempt,
    RecordAttemptReply,
    TakeKey,
    TakeKeyReply,
    UpdateKeyRecord,
    ShareDemand,
)
