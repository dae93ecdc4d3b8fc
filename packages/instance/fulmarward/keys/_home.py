"""The home of a key: claims it, confirms dispatches with its witness, and ends it."""

import asyncio

from fulmarward._instance import Instance
from fulmarward.answers import Answer
from fulmarward.keys._witness import request_record, send_update
from fulmarward.observability import log_event
from fulmarward.requests import CompletionRequest, ConfirmDispatch, run_completion
from fulmarward_core.keys import (
    AttemptPlace,
    ClaimDecision,
    IssuedKey,
    KeyEntry,
    RecordStep,
    RecordVerdict,
    claim_key,
    end_key,
    remove_key,
)
from fulmarward_core.results import Failure, ResultCode, make_failure
from fulmarward_core.routing import TargetView

#: Seconds for which the witness's confirmation permits a dispatch. This limits
#: how long a home may pause and still dispatch on an old confirmation. A pause between
#: this check and the write to the target remains possible; an instance that takes the
#: key over therefore closes the stream at the target before it reports "not run".
MAX_CONFIRMATION_AGE_S = 1.0

#: Seconds after the first token until the witness is notified of it. Saves a message
#: for each short answer, whose end is reported anyway.
BEGIN_REPORT_DELAY_S = 0.25

#: Maximum requests to the witness to confirm one attempt.
MAX_CONFIRMATION_TRIES = 3

#: Milliseconds after which a caller may retry.
RETRY_AFTER_MS = 1_000

_CLAIM_CODES = {
    ClaimDecision.OTHER_BODY: ResultCode.IDEMPOTENCY_KEY_REUSED,
    ClaimDecision.EXPIRED: ResultCode.KEY_CLOSED,
    ClaimDecision.TOO_OLD: ResultCode.OUTCOME_UNKNOWN,
    ClaimDecision.FULL: ResultCode.KEY_NOT_ASKED,
}

_VERDICT_CODES = {
    None: ResultCode.WITNESS_UNREACHABLE,
    RecordVerdict.CLOSED: ResultCode.KEY_CLOSED,
    RecordVerdict.UNKNOWN: ResultCode.OUTCOME_UNKNOWN,
}


def claim_call(
    instance: Instance, key: IssuedKey, *, team: str, request: str, body_hash: str
) -> tuple[KeyEntry | None, bool, Failure | None]:
    """Claim a key at its home.

    Returns its entry, whether the request is new, and the failure to report if there
    is neither an answer nor a request to execute.
    """
    claim, entry = claim_key(
        instance.key_table,
        key.text,
        body_hash=body_hash,
        expires_at=key.prefix.expires_at,
        now=instance.read_wall_clock(),
    )
    instance.metrics.decisions.inc({"kind": "key", "reason": claim.value})
    log_event("key_claim_decided", request=request, team=team, reason=claim.value)
    if claim is ClaimDecision.REPORT_OUTCOME:
        return entry, False, entry.outcome
    if claim in _CLAIM_CODES:
        return None, False, make_failure(_CLAIM_CODES[claim])
    return entry, claim is ClaimDecision.START, None


def find_home_refusal(instance: Instance) -> Failure | None:
    """Return why this instance starts no new request; the failure ends the key."""
    if instance.lifecycle.state in ("stopping", "stopped"):
        return make_failure(ResultCode.STOPPING, retry_after_ms=RETRY_AFTER_MS)
    if instance.lifecycle.state != "serving" or instance.has_paused():
        return make_failure(ResultCode.NOT_READY, retry_after_ms=RETRY_AFTER_MS)
    if len(instance.answers) >= instance.settings.limits.open_requests:
        return make_failure(ResultCode.QUEUE_FULL, retry_after_ms=RETRY_AFTER_MS)
    return None


def make_confirmation(
    instance: Instance,
    key: IssuedKey,
    *,
    body_hash: str,
    request: str,
    stream_layers: tuple[int, int] | None,
) -> ConfirmDispatch:
    """Return the check that runs before each dispatch of a request.

    A target that has `stream_layers` holds a stream that other instances can resume
    and close.
    """

    async def confirm(attempt: int, view: TargetView) -> Failure | None:
        if key.prefix.witness is None:
            return None
        place = AttemptPlace(
            attempt=attempt,
            target=view.name,
            address=view.target.address,
            has_stream=view.target.layers == stream_layers,
        )
        verdict = None
        for _ in range(MAX_CONFIRMATION_TRIES):
            asked_at = instance.read_pause_clock()
            verdict = await request_record(
                instance, key, body_hash=body_hash, request=request, place=place
            )
            is_fresh = instance.read_pause_clock() - asked_at <= MAX_CONFIRMATION_AGE_S
            if verdict is not RecordVerdict.ACCEPTED or is_fresh:
                break
            verdict = None
        if verdict is RecordVerdict.ACCEPTED:
            return None
        log_event(
            "dispatch_refused",
            request=request,
            attempt=attempt,
            target=view.name,
            reason=verdict.value if verdict else "witness_unreachable",
        )
        code = _VERDICT_CODES[verdict]
        return make_failure(code, retry_after_ms=RETRY_AFTER_MS)

    return confirm


def open_at_home(
    instance: Instance, work: CompletionRequest, key: IssuedKey, body_hash: str
) -> Answer:
    """Return the answer of a key at its home, executing the request if it is new."""
    entry, is_new, failure = claim_call(
        instance, key, team=work.team, request=work.request, body_hash=body_hash
    )
    if failure is not None:
        return Answer(request=work.request, team=work.team, failure=failure)
    if not is_new:
        return entry.answer
    answer = Answer(
        request=work.request,
        team=work.team,
        prompt_tokens=len(work.prompt.split()),
        is_resumable=True,
        has_idempotency_key=True,
    )
    entry.answer = answer
    refusal = find_home_refusal(instance)
    if refusal is not None:
        answer.fail(refusal)
        _end(instance, key, answer)
        if work.idempotent:
            remove_key(instance.key_table, key.text)
        return answer
    instance.answers[work.request] = answer
    running = _run(instance, work, answer, key, body_hash)
    instance.keep_task(asyncio.create_task(running))
    return answer


def end_refused(
    instance: Instance, key: IssuedKey, body_hash: str, failure: Failure
) -> None:
    """End a key under which nothing ran, with the failure that its callers get."""
    claim_key(
        instance.key_table,
        key.text,
        body_hash=body_hash,
        expires_at=key.prefix.expires_at,
        now=instance.read_wall_clock(),
    )
    end_key(
        instance.key_table,
        key.text,
        failure=failure,
        size=0,
        keep_s=0.0,
        now=instance.read_wall_clock(),
    )


def _end(instance: Instance, key: IssuedKey, answer: Answer) -> None:
    end_key(
        instance.key_table,
        key.text,
        failure=answer.failure,
        size=sum(map(len, answer.texts)),
        keep_s=instance.settings.limits.keep_ms / 1000,
        now=instance.read_wall_clock(),
    )


async def _run(
    instance: Instance,
    work: CompletionRequest,
    answer: Answer,
    key: IssuedKey,
    body_hash: str,
) -> None:
    """Execute a request under its key; the key ends with the result that callers get.

    A refused request is not retried under its key: a caller that was told "not run"
    may have sent it under a new key, and a late repeat would run it twice.
    """
    layers = work.snapshot.declaration.models[work.pipeline.model].layers
    confirm = make_confirmation(
        instance,
        key,
        body_hash=body_hash,
        request=work.request,
        stream_layers=(0, layers),
    )
    watching = asyncio.create_task(_report_begin(instance, key, answer))
    instance.keep_task(watching)
    try:
        await run_completion(instance, work, answer, confirm)
    finally:
        if not answer.is_over:
            answer.fail(make_failure(ResultCode.OUTCOME_UNKNOWN))
        _end(instance, key, answer)
        if answer.failure is not None and work.idempotent:
            remove_key(instance.key_table, key.text)
        watching.cancel()
        if not answer.readers:
            instance.answers.pop(work.request, None)
    await send_update(instance, key, RecordStep.END, failure=answer.failure)


async def _report_begin(instance: Instance, key: IssuedKey, answer: Answer) -> None:
    """Notify the witness that a target has begun, unless the answer ends soon.

    An engine may have dropped the stream of a request that it ran. If the home is gone
    by then, closing the stream would succeed as if the request had never begun.
    """
    while not answer.texts:
        if answer.is_over:
            return
        await answer.changed.wait()
    await asyncio.sleep(BEGIN_REPORT_DELAY_S)
    await send_update(instance, key, RecordStep.BEGIN)
