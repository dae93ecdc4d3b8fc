"""Estimates of waits and answer lengths, and the decision to admit or refuse."""

import math
import random
from dataclasses import replace

from fulmarward_core.admission._types import (
    Bucket,
    FairQueue,
    OutputLengths,
    Refusal,
    Ticket,
)
from fulmarward_core.admission.decisions._buckets import promise_tokens, take_tokens
from fulmarward_core.admission.decisions._queue import (
    estimate_work_ahead_s,
    push_ticket,
)
from fulmarward_core.declaration import Urgency
from fulmarward_core.results import ResultCode

#: Maximum wait in the queue by urgency, in seconds. Under saturation, waiting requests
#: hold memory and hide that the pool is full. An urgent caller, such as a van on the
#: road, can wait only seconds; a bulk caller gains nothing by waiting here instead of
#: retrying.
MAX_WAIT_S = {Urgency.URGENT: 2.0, Urgency.NORMAL: 5.0, Urgency.BULK: 20.0}

#: Maximum wait on lent capacity, in seconds. When other teams use their shares again,
#: borrowers are refused early instead of waiting for capacity that was returned.
MAX_LENT_WAIT_S = 3.0

#: Multiple of `MAX_LENT_WAIT_S` after which a queued request is refused. When the sold
#: work of a pool grows, lent work would otherwise wait until its deadline and be
#: refused then. An estimate below half of the actual wait was wrong.
LENT_TIMEOUT_FACTOR = 2.0

#: Correction of estimated waits by the observed ones: the weight of the newest sample,
#: the maximum, and the factor that each refusal applies. Work that arrives later and is
#: served first does not show in the queue, so requests would be admitted to a wait that
#: ends in a refusal. The decay makes a correction that refuses everything wear off.
CORRECTION_WEIGHT = 0.1
MAX_CORRECTION = 20.0
CORRECTION_DECAY = 0.995

#: Shorter waits, in seconds, are treated as noise.
MIN_WAIT_S = 0.1

#: Time constant of the average of arriving sold work, in seconds.
SOLD_RATE_TIME_S = 5.0

#: Minimum fraction of the places assumed for lent work, to keep estimates finite.
MIN_LENT_FRACTION = 0.02

#: Multiplier on an estimate before it is compared with the deadline. Under saturation,
#: an answer that is just too late has wasted a slot; the times of answers of one
#: pipeline vary by about this much.
ESTIMATE_MARGIN = 1.1

#: Bounds on the retry delay that callers are told, in seconds.
MIN_RETRY_AFTER_S = 0.2
MAX_RETRY_AFTER_S = 60.0

#: Random addition to the retry delay, as a fraction of it. Without it, a burst that is
#: refused together would return together; a quarter spreads it over the time in which
#: the queue drains.
RETRY_JITTER = 0.25

#: Output tokens assumed until enough answers of a pipeline were observed. It is low
#: enough that the first requests after a start are refused only if no answer could meet
#: their deadline, not because of a guess.
DEFAULT_OUTPUT_TOKENS = 16.0

#: Number of answers from which the measured length is used.
MIN_OUTPUT_SAMPLES = 8

#: Factor that a refusal applies to the estimated answer length that caused it. After a
#: run of long answers, every later request could be refused, and no shorter answer
#: would ever be seen. After a few dozen refusals one request is admitted and measured.
OUTPUT_DECAY = 0.98


def estimate_output(outputs: OutputLengths, bound: int) -> float:
    """Return the expected output tokens of a request that allows up to `bound`."""
    is_known = outputs.samples >= MIN_OUTPUT_SAMPLES
    return min(float(bound), outputs.tokens if is_known else DEFAULT_OUTPUT_TOKENS)


def record_output(outputs: OutputLengths, tokens: int) -> None:
    """Update the estimated 90th percentile with the length of an answer."""
    outputs.samples += 1
    if not outputs.tokens:
        outputs.tokens = float(max(1, tokens))
        return
    step = 0.05 * outputs.tokens
    outputs.tokens += step * (0.9 if tokens > outputs.tokens else -0.1)
    outputs.tokens = max(1.0, outputs.tokens)


def decay_output_estimate(outputs: OutputLengths) -> None:
    """Reduce the estimated length because a request was refused on it."""
    outputs.tokens *= OUTPUT_DECAY


def estimate_wait_s(
    queue: FairQueue,
    ticket: Ticket,
    *,
    weight: float,
    running: int,
    places: float,
    now: float,
) -> float:
    """Return the estimated wait for a place among `places`, in seconds."""
    if running < places and not queue.length:
        return 0.0
    ahead_s = estimate_work_ahead_s(queue, ticket, weight=weight)
    rate = max(1.0, places)
    correction = 1.0
    if ticket.is_lent:
        correction = queue.corrections.get(ticket.urgency, 1.0)
        # Later sold work is still served first, so only the rest is left for lent work.
        sold_rate = queue.sold_rate * math.exp(
            -max(0.0, now - queue.sold_at) / SOLD_RATE_TIME_S
        )
        rate *= max(MIN_LENT_FRACTION, 1 - sold_rate / rate)
    return (ahead_s + ticket.service_s / 2) / rate * correction


def note_wait(queue: FairQueue, ticket: Ticket, *, now: float) -> None:
    """Update the correction with the wait of a ticket on lent capacity."""
    if not ticket.is_lent:
        return
    expected_s = max(ticket.expected_wait_s, MIN_WAIT_S)
    ratio = max(now - ticket.queued_at, MIN_WAIT_S) / expected_s
    correction = queue.corrections.get(ticket.urgency, 1.0)
    sample = min(ratio * correction, MAX_CORRECTION)
    queue.corrections[ticket.urgency] = max(
        1.0, correction + CORRECTION_WEIGHT * (sample - correction)
    )


def _decay_correction(queue: FairQueue, ticket: Ticket) -> None:
    """Reduce the correction because a request was refused on it."""
    correction = queue.corrections.get(ticket.urgency, 1.0)
    queue.corrections[ticket.urgency] = 1 + (correction - 1) * CORRECTION_DECAY


def _update_sold_rate(queue: FairQueue, service_s: float, now: float) -> None:
    """Update the average rate of arriving sold work."""
    decay = math.exp(-max(0.0, now - queue.sold_at) / SOLD_RATE_TIME_S)
    queue.sold_rate = queue.sold_rate * decay + service_s / SOLD_RATE_TIME_S
    queue.sold_at = now


def admit_ticket(
    queue: FairQueue,
    bucket: Bucket,
    ticket: Ticket,
    *,
    weight: float,
    running: int,
    places: float,
    now: float,
    generator: random.Random,
) -> Ticket | Refusal:
    """Queue a request and return its ticket, or return why it is refused.

    `running` is the number of this instance's requests on the pool, and `places` how
    many it may have there.
    """
    if now + ticket.service_s > ticket.deadline:
        return Refusal(
            code=ResultCode.DEADLINE_TOO_NEAR, retry_after_s=None, wait_s=0.0
        )
    is_sold = take_tokens(bucket, ticket.tokens, now=now)
    queued = replace(ticket, is_lent=not is_sold)
    wait_s = estimate_wait_s(
        queue, queued, weight=weight, running=running, places=places, now=now
    )
    max_wait_s = _compute_max_wait_s(queued, now)
    if is_sold:
        _update_sold_rate(queue, ticket.service_s, now)
    if wait_s <= max_wait_s:
        timeout_s = MAX_LENT_WAIT_S * LENT_TIMEOUT_FACTOR
        queued = replace(
            queued,
            queued_at=now,
            expected_wait_s=wait_s,
            latest_start=now + timeout_s if queued.is_lent else math.inf,
        )
        push_ticket(queue, queued, weight=weight)
        return queued
    if queued.is_lent:
        _decay_correction(queue, queued)
    if is_sold:
        bucket.level += ticket.tokens
        code = _choose_refusal_code(queued, wait_s, now)
        return _make_refusal(code, wait_s - max_wait_s, wait_s, generator)
    share_after_s = promise_tokens(bucket, ticket.tokens, now=now)
    excess_s = wait_s - max_wait_s
    delay_s = (
        excess_s if share_after_s is None else max(share_after_s, MIN_RETRY_AFTER_S)
    )
    return _make_refusal(ResultCode.OVER_SHARE, delay_s, wait_s, generator)


def _compute_max_wait_s(ticket: Ticket, now: float) -> float:
    slack_s = ticket.deadline - now - ticket.service_s * ESTIMATE_MARGIN
    max_wait_s = MAX_WAIT_S[ticket.urgency]
    if ticket.is_lent:
        max_wait_s = min(max_wait_s, MAX_LENT_WAIT_S)
    return max(0.0, min(max_wait_s, slack_s / ESTIMATE_MARGIN))


def _choose_refusal_code(ticket: Ticket, wait_s: float, now: float) -> ResultCode:
    is_late = now + wait_s + ticket.service_s > ticket.deadline
    return ResultCode.DEADLINE_TOO_NEAR if is_late else ResultCode.QUEUE_FULL


def _make_refusal(
    code: ResultCode, delay_s: float, wait_s: float, generator: random.Random
) -> Refusal:
    jittered_s = delay_s * (1 + RETRY_JITTER * generator.random())
    retry_after_s = min(max(jittered_s, MIN_RETRY_AFTER_S), MAX_RETRY_AFTER_S)
    return Refusal(code=code, retry_after_s=retry_after_s, wait_s=wait_s)
