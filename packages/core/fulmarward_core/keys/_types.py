"""The tables of idempotency keys: one at a key's home, one at its witness."""

from collections import deque
from dataclasses import dataclass, field
from enum import StrEnum

from fulmarward_core.results import Failure


class KeyState(StrEnum):
    """Where the request of a key is, as its home knows."""

    RUNNING = "running"
    ENDED = "ended"


class Claim(StrEnum):
    """What the home does with a call that carries a key."""

    #: The key is new: execute the request.
    START = "start"
    #: Read the answer that is running or kept.
    ATTACH = "attach"
    #: It ended and its answer is not kept: tell the outcome.
    TELL = "tell"
    #: The key came before with another body.
    OTHER_BODY = "other_body"
    #: It did not run before the key's time was over, and never will.
    EXPIRED = "expired"
    #: The key is so old that its entry may have been dropped.
    TOO_OLD = "too_old"
    #: The table has no room; nothing is said about the key.
    FULL = "full"


class RecordVerdict(StrEnum):
    """What the witness says to a home that wants to dispatch."""

    #: The attempt is recorded: dispatch it.
    KEPT = "kept"
    #: The key is closed or taken over and runs no more attempts.
    CLOSED = "closed"
    #: The witness knows of an execution that is not this home's request.
    UNKNOWN = "unknown"


class RecordState(StrEnum):
    """What a witness knows of a key."""

    #: The home may dispatch the recorded attempts.
    RECORDED = "recorded"
    #: Someone took the key over: the home may dispatch no more.
    TAKEN = "taken"
    #: A target is known to have begun.
    BEGAN = "began"
    #: The request is known to be over.
    ENDED = "ended"
    #: The request has not run and never will.
    CLOSED = "closed"


class RecordStep(StrEnum):
    """What can happen to a record."""

    #: The home asks to dispatch an attempt.
    RECORD = "record"
    #: An instance that cannot reach the home asks what is known.
    TAKE = "take"
    #: A target began.
    BEGIN = "begin"
    #: The request is over.
    END = "end"
    #: It is proved that nothing ran.
    CLOSE = "close"


@dataclass(kw_only=True)
class KeptAnswers:
    """Which answers of a table are kept, oldest first, within a bound of bytes."""

    #: (key, when it is dropped, its bytes).
    items: deque[tuple[str, float, int]] = field(default_factory=deque)
    #: Bytes of all of them.
    bytes: int = 0


@dataclass(kw_only=True)
class KeyEntry:
    """One key at its home."""

    #: Hash of the request's body.
    body_hash: str
    #: Running or ended.
    state: KeyState
    #: When the entry may be dropped, seconds since 1970.
    drop_at: float
    #: The answer while it runs or is kept; what it is the table does not ask.
    answer: object | None = None
    #: What a repeat is told once the answer is not kept.
    outcome: Failure | None = None


@dataclass(kw_only=True)
class KeyTable:
    """All keys that this instance is the home of, oldest first."""

    #: Entries by key.
    entries: dict[str, KeyEntry] = field(default_factory=dict)
    #: Ended answers that are kept.
    kept: KeptAnswers = field(default_factory=KeptAnswers)
    #: The latest time seen: a clock set back brings no dropped key to life.
    latest: float = 0.0


@dataclass(frozen=True, kw_only=True)
class AttemptPlace:
    """Where an attempt may have been dispatched to."""

    #: Number of the attempt.
    attempt: int
    #: Name of the target.
    target: str
    #: Address `IP:PORT` of the target.
    address: str
    #: Whether the target has a stream that can be resumed and closed by its name.
    has_stream: bool


@dataclass(frozen=True, kw_only=True)
class ResultCopy:
    """A short answer of a call that cannot be made again."""

    #: HTTP status.
    status: int
    #: The body and its type.
    body: bytes
    content_type: str


@dataclass(kw_only=True)
class WitnessRecord:
    """One key at its witness."""

    #: Hash of the request's body.
    body_hash: str
    #: Id of the request; empty for a key closed before it was recorded.
    request: str
    #: What is known.
    state: RecordState
    #: When the record may be dropped, seconds since 1970.
    drop_at: float
    #: When it was first recorded, seconds on the witness's steady clock.
    recorded_at: float
    #: Attempts that the home may have dispatched.
    places: tuple[AttemptPlace, ...] = ()
    #: How it ended, if it ended badly.
    failure: Failure | None = None
    #: The answer of a call that cannot be re-attached, while it is kept.
    answer: ResultCopy | None = None


@dataclass(kw_only=True)
class WitnessTable:
    """All keys that this instance is the witness of, oldest first."""

    #: Records by key.
    records: dict[str, WitnessRecord] = field(default_factory=dict)
    #: Copies of answers that are kept.
    kept: KeptAnswers = field(default_factory=KeptAnswers)
    #: The latest time seen.
    latest: float = 0.0
