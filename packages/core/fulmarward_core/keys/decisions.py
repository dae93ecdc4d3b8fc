"""Decisions about idempotency keys at their home, their witness and elsewhere.

Only the home dispatches, and only attempts that the witness has recorded. An
instance that cannot reach the home takes the key over at the witness; from then on
the witness records nothing more, so that what it says of the past stays true.
"""

from collections.abc import Iterable, Mapping, Sequence
from enum import StrEnum

from fulmarward_core.keys._types import (
    AttemptPlace,
    Claim,
    KeptAnswers,
    KeyEntry,
    KeyState,
    KeyTable,
    RecordState,
    RecordStep,
    RecordVerdict,
    ResultCopy,
    WitnessRecord,
    WitnessTable,
)
from fulmarward_core.results import Failure, Ran, ResultCode, make_failure

#: Entries of one table. Load: 24 requests/s for each of 330 instances, kept for 11
#: minutes, make 16,000; harm: memory past 256 MB; reason: three times that load at
#: about 600 bytes each is 30 MB.
MOST_ENTRIES = 50_000

#: Seconds that a key's entry outlives the key's time. Harm: after it nobody can say
#: whether the request ran; reason: callers give up long before.
RETAIN_S = 60.0

#: Bytes of kept answers in one table. Harm: memory past 256 MB; reason: an eighth of
#: it for each of the two tables.
MOST_KEPT_BYTES = 32_000_000

#: Entries looked at for dropping at each call, so that no call pays for all.
DROPS_AT_ONCE = 4

_CLAIMS = {
    (KeyState.RUNNING, True): Claim.ATTACH,
    (KeyState.ENDED, True): Claim.ATTACH,
    (KeyState.ENDED, False): Claim.TELL,
}

#: What a record becomes; a step that is not here changes nothing. `None` is a key
#: that the witness has no record of.
_STEPS = {
    (None, RecordStep.RECORD): RecordState.RECORDED,
    (None, RecordStep.TAKE): RecordState.CLOSED,
    (RecordState.RECORDED, RecordStep.RECORD): RecordState.RECORDED,
    (RecordState.RECORDED, RecordStep.TAKE): RecordState.TAKEN,
    (RecordState.RECORDED, RecordStep.BEGIN): RecordState.BEGAN,
    (RecordState.RECORDED, RecordStep.END): RecordState.ENDED,
    (RecordState.RECORDED, RecordStep.CLOSE): RecordState.CLOSED,
    (RecordState.TAKEN, RecordStep.BEGIN): RecordState.BEGAN,
    (RecordState.TAKEN, RecordStep.END): RecordState.ENDED,
    (RecordState.TAKEN, RecordStep.CLOSE): RecordState.CLOSED,
    (RecordState.BEGAN, RecordStep.END): RecordState.ENDED,
}


def claim_key(
    table: KeyTable, key: str, *, body_hash: str, expires_at: float, now: float
) -> tuple[Claim, KeyEntry | None]:
    """Decide what the home does with a call; a new key gets its entry."""
    table.latest = max(table.latest, now)
    _forget_answers(table.kept, table.entries, table.latest)
    _drop_entries(table)
    entry = table.entries.get(key)
    if entry is not None:
        if entry.body_hash != body_hash:
            return Claim.OTHER_BODY, None
        return _CLAIMS[entry.state, entry.answer is not None], entry
    refusal = _judge_age(expires_at, table.latest)
    if refusal is None and len(table.entries) >= MOST_ENTRIES:
        refusal = Claim.FULL
    if refusal is not None:
        return refusal, None
    entry = KeyEntry(
        body_hash=body_hash, state=KeyState.RUNNING, drop_at=expires_at + RETAIN_S
    )
    table.entries[key] = entry
    return Claim.START, entry


def _judge_age(expires_at: float, now: float) -> Claim | None:
    """Return why a key without an entry is not new, by its age.

    Guards against a late repeat running again after its entry was dropped. Entries
    outlive the key's time by `RETAIN_S`: until then a missing one proves that
    nothing ran, and after the key's time nothing begins.
    """
    if now > expires_at + RETAIN_S:
        return Claim.TOO_OLD
    return Claim.EXPIRED if now > expires_at else None


def end_key(
    table: KeyTable,
    key: str,
    *,
    failure: Failure | None,
    size: int,
    keep_s: float,
    now: float,
) -> None:
    """Note that the request of a key is over; its answer is kept for a while."""
    table.latest = max(table.latest, now)
    entry = table.entries.get(key)
    if entry is None or entry.state is KeyState.ENDED:
        return
    entry.state = KeyState.ENDED
    entry.outcome = failure or make_failure(ResultCode.ALREADY_RAN)
    entry.drop_at = max(entry.drop_at, table.latest + RETAIN_S)
    _keep_answer(table.kept, key, size, table.latest + keep_s)
    _forget_answers(table.kept, table.entries, table.latest)


def forget_key(table: KeyTable, key: str) -> None:
    """Drop a key whose request may run again: it failed and is idempotent."""
    table.entries.pop(key, None)


def _keep_answer(kept: KeptAnswers, key: str, size: int, drop_at: float) -> None:
    kept.items.append((key, drop_at, size))
    kept.bytes += size


def _forget_answers(
    kept: KeptAnswers, entries: Mapping[str, KeyEntry | WitnessRecord], now: float
) -> None:
    while kept.items and (kept.items[0][1] < now or kept.bytes > MOST_KEPT_BYTES):
        key, _, size = kept.items.popleft()
        kept.bytes -= size
        if key in entries:
            entries[key].answer = None


def _drop_entries(table: KeyTable) -> None:
    entries = table.entries
    for _ in range(min(DROPS_AT_ONCE, len(entries))):
        key = next(iter(entries))
        if entries[key].drop_at >= table.latest:
            return
        entry = entries.pop(key)
        if entry.state is KeyState.RUNNING:
            entries[key] = entry


def _drop_records(table: WitnessTable) -> None:
    records = table.records
    for _ in range(min(DROPS_AT_ONCE, len(records))):
        key = next(iter(records))
        if records[key].drop_at >= table.latest:
            return
        del records[key]


def _step_record(record: WitnessRecord, step: RecordStep) -> bool:
    state = _STEPS.get((record.state, step))
    if state is None:
        return False
    record.state = state
    return True


def _add_record(
    table: WitnessTable,
    key: str,
    step: RecordStep,
    *,
    body_hash: str,
    request: str,
    drop_at: float,
    recorded_at: float,
) -> WitnessRecord | None:
    """Return a new record, or `None` when the table has no room for it."""
    if len(table.records) >= MOST_ENTRIES:
        return None
    table.records[key] = record = WitnessRecord(
        body_hash=body_hash,
        request=request,
        state=_STEPS[None, step],
        drop_at=drop_at,
        recorded_at=recorded_at,
    )
    return record


def _advance(table: WitnessTable, now: float) -> None:
    table.latest = max(table.latest, now)
    _forget_answers(table.kept, table.records, table.latest)
    _drop_records(table)


def record_attempt(
    table: WitnessTable,
    key: str,
    *,
    body_hash: str,
    request: str,
    place: AttemptPlace,
    expires_at: float,
    now: float,
    steady_now: float,
) -> RecordVerdict:
    """Record that the home is about to dispatch; say whether it may.

    Guards against a home that was paused and wakes after its key was taken over or
    closed: the record is in another state then, and the answer is no. A first
    record after the key's time is refused by the witness's own clock alone, so no
    two clocks have to agree before records are dropped.
    """
    _advance(table, now)
    record = table.records.get(key)
    if record is None:
        if _judge_age(expires_at, table.latest) is not None:
            return RecordVerdict.CLOSED
        record = _add_record(
            table,
            key,
            RecordStep.RECORD,
            body_hash=body_hash,
            request=request,
            drop_at=expires_at + RETAIN_S,
            recorded_at=steady_now,
        )
        if record is None:
            return RecordVerdict.CLOSED
    elif record.state is RecordState.CLOSED:
        return RecordVerdict.CLOSED
    elif (record.request, record.body_hash) != (request, body_hash):
        return RecordVerdict.UNKNOWN
    elif not _step_record(record, RecordStep.RECORD):
        is_taken = record.state is RecordState.TAKEN
        return RecordVerdict.CLOSED if is_taken else RecordVerdict.UNKNOWN
    if place not in record.places:
        record.places = (*record.places, place)
    return RecordVerdict.KEPT


def take_key(
    table: WitnessTable, key: str, *, body_hash: str, expires_at: float, now: float
) -> WitnessRecord | None:
    """Take a key over from a home that cannot be reached; return what is known.

    `None` says that nobody can tell: the record may have been dropped, or there is
    no room to close the key.
    """
    _advance(table, now)
    record = table.records.get(key)
    if record is not None:
        if record.body_hash == body_hash:
            _step_record(record, RecordStep.TAKE)
        return record
    if _judge_age(expires_at, table.latest) is Claim.TOO_OLD:
        return None
    return _add_record(
        table,
        key,
        RecordStep.TAKE,
        body_hash=body_hash,
        request="",
        drop_at=expires_at + RETAIN_S,
        recorded_at=0.0,
    )


def note_record(
    table: WitnessTable,
    key: str,
    step: RecordStep,
    *,
    failure: Failure | None = None,
    answer: ResultCopy | None = None,
    keep_s: float = 0.0,
    now: float,
) -> bool:
    """Note what became of a recorded request; return whether the record took it."""
    _advance(table, now)
    record = table.records.get(key)
    if record is None:
        return False
    if failure is not None and failure.ran is Ran.NOT_RUN and step is RecordStep.END:
        step = RecordStep.CLOSE
    if not _step_record(record, step):
        return False
    record.failure = failure
    record.drop_at = max(record.drop_at, table.latest + RETAIN_S)
    if answer is not None:
        record.answer = answer
        _keep_answer(table.kept, key, len(answer.body), table.latest + keep_s)
        _forget_answers(table.kept, table.records, table.latest)
    return True


class Conclusion(StrEnum):
    """What an instance that took a key over does."""

    #: The request never ran and never will.
    NOT_RUN = "not_run"
    #: The answer can be read from a target's stream.
    RESUME = "resume"
    #: The answer's copy is there.
    COPY = "copy"
    #: The request failed; the record says how.
    FAILED = "failed"
    #: The request ran and its answer is not kept.
    SPENT = "spent"
    #: Nobody can tell.
    UNKNOWN = "unknown"


def conclude_take(record: WitnessRecord | None) -> Conclusion:
    """Return what follows from a witness's record."""
    if record is None:
        return Conclusion.UNKNOWN
    if record.state is RecordState.CLOSED:
        return Conclusion.NOT_RUN
    if record.answer is not None:
        return Conclusion.COPY
    if record.failure is not None:
        return Conclusion.FAILED
    if any(place.has_stream for place in record.places):
        return Conclusion.RESUME
    if record.state is RecordState.ENDED:
        return Conclusion.SPENT
    return Conclusion.UNKNOWN


#: What targets answer when a stream is closed by its name.
CLOSED_BEFORE_START = "closed_before_start"
_RAN_REPLIES = ("cancelled", "ended")


def conclude_closing(
    record: WitnessRecord, replies: Sequence[str | None]
) -> ResultCode:
    """Return the truth about a request whose stream could not be read any more.

    `replies` holds what the target of each recorded attempt said when its stream was
    closed, `None` for no answer. "Not run" needs every one of them to have closed
    the name before it began, and no word that any began: an engine that was
    forgot closes the name of a stream that it ran.
    """
    if len(replies) != len(record.places):
        return ResultCode.OUTCOME_UNKNOWN
    if any(reply in _RAN_REPLIES for reply in replies):
        return ResultCode.STREAM_LOST
    has_begun = record.state not in (RecordState.RECORDED, RecordState.TAKEN)
    if has_begun:
        return (
            ResultCode.ALREADY_RAN
            if record.state is RecordState.ENDED
            else ResultCode.STREAM_LOST
        )
    if all(reply == CLOSED_BEFORE_START for reply in replies):
        return ResultCode.KEY_CLOSED
    return ResultCode.OUTCOME_UNKNOWN


def list_closable(places: Iterable[AttemptPlace]) -> list[AttemptPlace]:
    """Return the attempts that can be read or closed, the latest first."""
    streams = [place for place in places if place.has_stream]
    return sorted(streams, key=lambda place: place.attempt, reverse=True)
