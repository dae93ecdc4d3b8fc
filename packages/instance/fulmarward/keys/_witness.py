"""Messages to and from the witness of a key."""

from fulmarward._instance import Instance
from fulmarward.keys._prefixes import find_address, identify_key
from fulmarward.observability import log_event
from fulmarward.peers import (
    Ack,
    InvalidMessageError,
    PeerLost,
    RecordAttempt,
    RecordAttemptReply,
    TakeKey,
    TakeKeyReply,
    UpdateKeyRecord,
)
from fulmarward_core.keys import (
    AttemptPlace,
    IssuedKey,
    RecordStep,
    RecordVerdict,
    ResultCopy,
    record_attempt,
    take_over_key,
    update_record,
)
from fulmarward_core.membership import Incarnation, Member
from fulmarward_core.results import Failure

#: Seconds that a witness has to reply. A request waits this long for a lost witness
#: before its caller is told "not run". The round trip between instances takes
#: milliseconds; a longer timeout would only wait for paused instances.
ANSWER_TIMEOUT_S = 1.0

#: Seconds added to the age of a record, since the clocks of instance and engine may run
#: at different rates: an engine that started just after the record must still count as
#: restarted since the record.
AGE_MARGIN_S = 1.0


def check_boot(instance: Instance, boot: int) -> None:
    """Reject a message that is addressed to an earlier incarnation of this instance.

    A restarted instance does not have the tables of its previous incarnation and must
    not answer from its own.
    """
    if boot != instance.member.boot:
        raise InvalidMessageError(f"expected boot {instance.member.boot}, found {boot}")


async def answer_record(
    instance: Instance, peer: Member, message: RecordAttempt
) -> RecordAttemptReply:
    """Record an attempt in the witness table."""
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
    if verdict is not RecordVerdict.ACCEPTED:
        log_event("record_refused", request=message.request, reason=verdict.value)
    return RecordAttemptReply(verdict=verdict)


async def answer_takeover(
    instance: Instance, peer: Member, message: TakeKey
) -> TakeKeyReply:
    """Handle a request of another instance to take a key over."""
    check_boot(instance, message.boot)
    record = take_over_key(
        instance.witness_table,
        message.key,
        body_hash=message.body_hash,
        expires_at=message.expires_at,
        now=instance.read_wall_clock(),
    )
    log_event(
        "key_taken_over",
        by=peer.name,
        request=record.request if record else None,
        reason=record.state.value if record else "too_old",
    )
    age_s = instance.read_clock() - record.recorded_at if record else 0.0
    return TakeKeyReply(record=record, age_s=age_s + AGE_MARGIN_S)


async def answer_update(
    instance: Instance, peer: Member, message: UpdateKeyRecord
) -> Ack:
    """Record the progress or outcome of a request in the witness table."""
    check_boot(instance, message.boot)
    update_record(
        instance.witness_table,
        message.key,
        message.step,
        failure=message.failure,
        answer=message.answer,
        keep_s=instance.settings.limits.keep_ms / 1000,
        now=instance.read_wall_clock(),
    )
    return Ack()


_NO_RECORD = TakeKeyReply(record=None, age_s=0.0)

_HANDLERS = {
    RecordAttempt: answer_record,
    TakeKey: answer_takeover,
    UpdateKeyRecord: answer_update,
}


async def _call_witness(
    instance: Instance, witness: Incarnation, message: object
) -> object | None:
    """Return the witness's reply, `None` if there is none."""
    if witness.name == instance.settings.name:
        if witness.boot != instance.member.boot:
            return None
        return await _HANDLERS[type(message)](instance, instance.member, message)
    address = find_address(instance, witness)
    if address is None or instance.links is None:
        return None
    try:
        return await instance.links.call(address, message, ANSWER_TIMEOUT_S)
    except PeerLost as lost:
        log_event("witness_call_failed", witness=witness.name, reason=str(lost))
        return None


async def request_record(
    instance: Instance,
    key: IssuedKey,
    *,
    body_hash: str,
    request: str,
    place: AttemptPlace,
) -> RecordVerdict | None:
    """Have the witness record an attempt; `None` if it does not reply."""
    witness = key.prefix.witness
    message = RecordAttempt(
        boot=witness.boot,
        key=identify_key(key),
        body_hash=body_hash,
        expires_at=key.prefix.expires_at,
        request=request,
        place=place,
    )
    answer = await _call_witness(instance, witness, message)
    return answer.verdict if answer else None


async def request_takeover(
    instance: Instance, key: IssuedKey, body_hash: str
) -> TakeKeyReply:
    """Take a key over; the result has no record if no witness replies."""
    witness = key.prefix.witness
    if witness is None:
        return _NO_RECORD
    message = TakeKey(
        boot=witness.boot,
        key=identify_key(key),
        body_hash=body_hash,
        expires_at=key.prefix.expires_at,
    )
    answer = await _call_witness(instance, witness, message)
    return answer or _NO_RECORD


async def send_update(
    instance: Instance,
    key: IssuedKey,
    step: RecordStep,
    *,
    failure: Failure | None = None,
    answer: ResultCopy | None = None,
) -> bool:
    """Report a request's progress or outcome; return whether the witness replied."""
    witness = key.prefix.witness
    if witness is None:
        return False
    message = UpdateKeyRecord(
        boot=witness.boot,
        key=identify_key(key),
        step=step,
        failure=failure,
        answer=answer,
    )
    return await _call_witness(instance, witness, message) is not None
