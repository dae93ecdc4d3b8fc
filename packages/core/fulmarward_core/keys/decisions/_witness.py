"""Decisions of a key's witness: records, takeovers and ends of requests."""

from fulmarward_core.keys._types import (
    AttemptPlace,
    ClaimDecision,
    RecordState,
    RecordStep,
    RecordVerdict,
    ResultCopy,
    WitnessRecord,
    WitnessTable,
)
from fulmarward_core.keys.decisions._ages import (
    MAX_CHECKS_PER_CALL,
    MAX_ENTRIES,
    RETAIN_S,
    check_age,
    drop_answers,
    store_answer,
)
from fulmarward_core.results import ExecutionState, Failure

#: State transitions of a record; a step without an entry changes nothing. `None` stands
#: for a key without a record.
_TRANSITIONS = {
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
    for _ in range(min(MAX_CHECKS_PER_CALL, len(records))):
        key = next(iter(records))
        if records[key].drop_at >= table.latest_time:
            return
        del records[key]


def _apply_step(record: WitnessRecord, step: RecordStep) -> bool:
    state = _TRANSITIONS.get((record.state, step))
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
    """Return a new record, or `None` if the table is full."""
    if len(table.records) >= MAX_ENTRIES:
        return None
    table.records[key] = record = WitnessRecord(
        body_hash=body_hash,
        request=request,
        state=_TRANSITIONS[None, step],
        drop_at=drop_at,
        recorded_at=recorded_at,
    )
    return record


def _advance(table: WitnessTable, now: float) -> None:
    table.latest_time = max(table.latest_time, now)
    drop_answers(table.stored_answers, table.records, table.latest_time)
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
    """Record that the home is about to dispatch an attempt; return whether it may.

    Guards against a home that was paused while its key was taken over or closed: the
    record's state has changed, and the attempt is refused. A first record after the
    key has expired is refused by the witness's clock alone, so that no two clocks have
    to agree before records are removed.
    """
    _advance(table, now)
    record = table.records.get(key)
    if record is None:
        if check_age(expires_at, table.latest_time) is not None:
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
    elif not _apply_step(record, RecordStep.RECORD):
        is_taken = record.state is RecordState.TAKEN
        return RecordVerdict.CLOSED if is_taken else RecordVerdict.UNKNOWN
    if place not in record.places:
        record.places = (*record.places, place)
    return RecordVerdict.ACCEPTED


def take_over_key(
    table: WitnessTable, key: str, *, body_hash: str, expires_at: float, now: float
) -> WitnessRecord | None:
    """Take a key over from a home that cannot be reached; return its record.

    `None` means that the outcome cannot be determined: the record may have been
    removed, or the table is full, so that the key cannot be closed.
    """
    _advance(table, now)
    record = table.records.get(key)
    if record is not None:
        if record.body_hash == body_hash:
            _apply_step(record, RecordStep.TAKE)
        return record
    if check_age(expires_at, table.latest_time) is ClaimDecision.TOO_OLD:
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


def update_record(
    table: WitnessTable,
    key: str,
    step: RecordStep,
    *,
    failure: Failure | None = None,
    answer: ResultCopy | None = None,
    keep_s: float = 0.0,
    now: float,
) -> bool:
    """Apply a step to a recorded request; return whether the record accepts it."""
    _advance(table, now)
    record = table.records.get(key)
    if record is None:
        return False
    if (
        failure is not None
        and failure.ran is ExecutionState.NOT_RUN
        and step is RecordStep.END
    ):
        step = RecordStep.CLOSE
    if not _apply_step(record, step):
        return False
    record.failure = failure
    record.drop_at = max(record.drop_at, table.latest_time + RETAIN_S)
    if answer is not None:
        record.answer = answer
        store_answer(
            table.stored_answers, key, len(answer.body), table.latest_time + keep_s
        )
        drop_answers(table.stored_answers, table.records, table.latest_time)
    return True
