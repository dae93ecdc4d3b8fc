"""Tables of idempotency keys at their home and their witness."""

from collections import deque
from dataclasses import dataclass, field
from enum import StrEnum

from fulmarward_core.results import Failure


class KeyState(StrEnum):
    """State of a key's request at its home."""

    RUNNING = "running"
    ENDED = "ended"


class ClaimDecision(StrEnum):
    """Decision of the home on a call with a key."""

    #: The key is new: run the request.
    START = "start"
    #: Read the answer of the running request, or the stored answer.
    ATTACH = "attach"
    #: The request ended and its answer is no longer stored: report the outcome.
    REPORT_OUTCOME = "tell"
    #: The key was used before with a different body.
    OTHER_BODY = "other_body"
    #: The request did not run before the key expired and never will.
    EXPIRED = "expired"
    #: The key is so old that its entry may have been dropped.
    TOO_OLD = "too_old"
    #: The table is full; this does not tell whether a request ran with the key.
    FULL = "full"


class RecordVerdict(StrEnum):
    """Reply of the witness to a home that asks to dispatch an attempt."""

    #: The attempt is recorded and may be dispatched.
    ACCEPTED = "kept"
    #: The key is closed or taken over: no more attempts may run.
    CLOSED = "closed"
    #: The witness has a record of a different execution than this home's request.
    UNKNOWN = "unknown"


class RecordState(StrEnum):
    """State of a key's record at its witness."""

    #: The home may dispatch the recorded attempts.
    RECORDED = "recorded"
    #: Another instance took the key over: the home may no longer dispatch.
    TAKEN = "taken"
    #: A target is known to have started the request.
    BEGAN = "began"
    #: The request is known to have ended.
    ENDED = "ended"
    #: The request has not run and never will.
    CLOSED = "closed"


class RecordStep(StrEnum):
    """Events that change a record."""

    #: The home asks to dispatch an attempt.
    RECORD = "record"
    #: An instance that cannot reach the home takes the key over.
    TAKE = "take"
    #: A target started the request.
    BEGIN = "begin"
    #: The request ended.
    END = "end"
    #: It is proven that nothing ran.
    CLOSE = "close"


@dataclass(kw_only=True)
class StoredAnswers:
    """Answers stored in a table, oldest first, within a limit of bytes."""

    #: Key, time of removal and size in bytes.
    items: deque[tuple[str, float, int]] = field(default_factory=deque)
    #: Total size.
    bytes: int = 0


@dataclass(kw_only=True)
class KeyEntry:
    """A key at its home."""

    #: Hash of the request's body.
    body_hash: str
    state: KeyState
    #: Time from which the entry may be removed, in seconds since 1970.
    drop_at: float
    #: The answer while the request runs or while it is stored; opaque to the table.
    answer: object | None = None
    #: Outcome reported to repeated calls once the answer is no longer stored.
    outcome: Failure | None = None


@dataclass(kw_only=True)
class KeyTable:
    """The keys whose home is this instance, oldest first."""

    entries: dict[str, KeyEntry] = field(default_factory=dict)
    #: Stored answers of requests that ended.
    stored_answers: StoredAnswers = field(default_factory=StoredAnswers)
    #: Latest time seen, so that a clock set back does not make a removed key new again.
    latest_time: float = 0.0


@dataclass(frozen=True, kw_only=True)
class AttemptPlace:
    """The target that an attempt may have been dispatched to."""

    #: Number of the attempt.
    attempt: int
    target: str
    #: Address of the target, `IP:PORT`.
    address: str
    #: Whether the attempt has a stream that can be resumed and closed by its name.
    has_stream: bool


@dataclass(frozen=True, kw_only=True)
class ResultCopy:
    """A copy of a short answer to a call that cannot be repeated."""

    #: HTTP status.
    status: int
    body: bytes
    content_type: str


@dataclass(kw_only=True)
class WitnessRecord:
    """A key at its witness."""

    #: Hash of the request's body.
    body_hash: str
    #: Id of the request; empty for a key closed before it was recorded.
    request: str
    state: RecordState
    #: Time from which the record may be removed, in seconds since 1970.
    drop_at: float
    #: Time of the first record, in seconds on the witness's monotonic clock.
    recorded_at: float
    #: Attempts that the home may have dispatched.
    places: tuple[AttemptPlace, ...] = ()
    failure: Failure | None = None
    #: Answer of a call without a stream to resume, while it is stored.
    answer: ResultCopy | None = None


@dataclass(kw_only=True)
class WitnessTable:
    """The keys whose witness is this instance, oldest first."""

    records: dict[str, WitnessRecord] = field(default_factory=dict)
    #: Stored copies of answers.
    stored_answers: StoredAnswers = field(default_factory=StoredAnswers)
    #: Latest time seen, as in `KeyTable`.
    latest_time: float = 0.0
