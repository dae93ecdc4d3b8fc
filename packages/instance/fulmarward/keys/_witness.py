"""Asking a key's witness, and answering as one."""

from fulmarward._instance import Instance
from fulmarward.keys._prefixes import find_address, identify_key
from fulmarward.observability import log_event
from fulmarward.peers import (
    AttemptRecorded,
    KeyTaken,
    MessageFault,
    NoteKey,
    Nothing,
    PeerLost,
    RecordAttempt,
    TakeKey,
)
from fulmarward_core.keys import (
    AttemptPlace,
    HandedKey,
    RecordStep,
    RecordVerdict,
    ResultCopy,
    note_record,
    record_attempt,
    take_key,
)
from fulmarward_core.membership import Incarnation, Member
from fulmarward_core.results import Failure

#: Seconds that a witness has to answer. Harm: a request waits for a lost witness
#: before its caller hears "not run"; reason: instances are milliseconds apart, and a
#: paused one is not worth waiting for.
ANSWER_S = 1.0

#: Seconds added to the age of a record. Guards against clocks of instance and engine
#: that go at different rates: an engine that started just after the record counts as
#: restarted since.
AGE_MARGIN_S = 1.0


def check_boot(instance: Instance, boot: int) -> None:
    """Refuse what is meant for an earlier run of this instance.

    Guards against a restarted instance that speaks for its predecessor's table.
    """
    if boot != instance.member.boot:
        raise MessageFault(f"expected boot {instance.member.boot}, found {boot}")


async def answer_record(
    instance: Instance, peer: Member, message: RecordAttempt
) -> AttemptRecorded:
    """Record an attempt as its witness."""
    check_boot(instance, message.boot)
    verdict = record_attempt(
        instance.witness_table,
        message.key,
        body_hash=message.body_hash,
        request=message.request,
        place=message.place,
        expires_at=message.expires_at,
        now=instance.read_wall_clock(),
        steady_now=instance.read_clock(),
    )
    if verdict is not RecordVerdict.KEPT:
        log_event("record_refused", request=message.request, reason=verdict.value)
    return AttemptRecorded(verdict=verdict)


async def answer_take(instance: Instance, peer: Member, message: TakeKey) -> KeyTaken:
    """Let another instance take a key over."""
    check_boot(instance, message.boot)
    record = take_key(
        instance.witness_table,
        message.key,
        body_hash=message.body_hash,
        expires_at=message.expires_at,
        now=instance.read_wall_clock(),
    )
    log_event(
        "key_taken",
        by=peer.name,
        request=record.request if record else None,
        reason=record.state.value if record else "too_old",
    )
    age_s = instance.read_clock() - record.recorded_at if record else 0.0
    return KeyTaken(record=record, age_s=age_s + AGE_MARGIN_S)


async def answer_note(instance: Instance, peer: Member, message: NoteKey) -> Nothing:
    """Note what became of a request."""
    check_boot(instance, message.boot)
    note_record(
        instance.witness_table,
        message.key,
        message.step,
        failure=message.failure,
        answer=message.answer,
        keep_s=instance.settings.limits.keep_ms / 1000,
        now=instance.read_wall_clock(),
    )
    return Nothing()


_NOTHING_KNOWN = KeyTaken(record=None, age_s=0.0)

_HANDLERS = {RecordAttempt: answer_record, TakeKey: answer_take, NoteKey: answer_note}


async def _ask(
    instance: Instance, witness: Incarnation, message: object
) -> object | None:
    """Return the witness's answer, or `None` when there is none."""
    if witness.name == instance.settings.name:
        if witness.boot != instance.member.boot:
            return None
        return await _HANDLERS[type(message)](instance, instance.member, message)
    address = find_address(instance, witness)
    if address is None or instance.links is None:
        return None
    try:
        return await instance.links.call(address, message, ANSWER_S)
    except PeerLost as lost:
        log_event("witness_lost", witness=witness.name, reason=str(lost))
        return None


async def ask_record(
    instance: Instance,
    key: HandedKey,
    *,
    body_hash: str,
    request: str,
    place: AttemptPlace,
) -> RecordVerdict | None:
    """Have an attempt recorded; `None` when the witness does not answer."""
    witness = key.prefix.witness
    message = RecordAttempt(
        boot=witness.boot,
        key=identify_key(key),
        body_hash=body_hash,
        expires_at=key.prefix.expires_at,
        request=request,
        place=place,
    )
    answer = await _ask(instance, witness, message)
    return answer.verdict if answer else None


async def ask_take(instance: Instance, key: HandedKey, body_hash: str) -> KeyTaken:
    """Take a key over; without a record when nobody can tell."""
    witness = key.prefix.witness
    if witness is None:
        return _NOTHING_KNOWN
    message = TakeKey(
        boot=witness.boot,
        key=identify_key(key),
        body_hash=body_hash,
        expires_at=key.prefix.expires_at,
    )
    answer = await _ask(instance, witness, message)
    return answer or _NOTHING_KNOWN


async def send_note(
    instance: Instance,
    key: HandedKey,
    step: RecordStep,
    *,
    failure: Failure | None = None,
    answer: ResultCopy | None = None,
) -> bool:
    """Tell the witness what became of a request; return whether it heard."""
    witness = key.prefix.witness
    if witness is None:
        return False
    message = NoteKey(
        boot=witness.boot,
        key=identify_key(key),
        step=step,
        failure=failure,
        answer=answer,
    )
    return await _ask(instance, witness, message) is not None
