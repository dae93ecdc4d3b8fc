"""The witness of a key: recording, taking over, noting the end."""

from fulmarward_core.keys._types import (
    AttemptPlace,
    Claim,
    RecordState,
    RecordStep,
    RecordVerdict,
    ResultCopy,
    WitnessRecord,
    WitnessTable,
)
from fulmarward_core.keys.decisions._ages import (
    DROPS_AT_ONCE,
    MOST_ENTRIES,
    RETAIN_S,
    forget_answers,
    judge_age,
    keep_answer,
)
from fulmarward_core.results import Failure, Ran

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
    forget_answers(table.kept, table.records, table.latest)
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
        if judge_age(expires_at, table.latest) is not None:
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
    if judge_age(expires_at, table.latest) is Claim.TOO_OLD:
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
        keep_answer(table.kept, key, len(answer.body), table.latest + keep_s)
        forget_answers(table.kept, table.records, table.latest)
    return True
