"""Whether a request can be answered before its deadline, and what to say if not."""

import math
import random
from dataclasses import replace

from fulmarward_core.admission._types import (
    Bucket,
    FairQueue,
    Outputs,
    Refusal,
    Ticket,
)
from fulmarward_core.admission.decisions._buckets import promise_tokens, take_tokens
from fulmarward_core.admission.decisions._queue import estimate_ahead_s, push_ticket
from fulmarward_core.declaration import Urgency
from fulmarward_core.results import ResultCode

#: Longest wait in a queue by urgency, in seconds. Load: saturation; harm: requests
#: that wait hold memory and hide that the pool is full; reason: a van waits seconds,
#: a bulk caller gains nothing by waiting here rather than coming back.
MOST_WAIT_S = {Urgency.URGENT: 2.0, Urgency.NORMAL: 5.0, Urgency.BULK: 20.0}

#: Longest wait on lent capacity, in seconds. Load: others use their shares again;
#: harm: lent work waits for capacity that was given back; reason: it is told at once.
MOST_LENT_WAIT_S = 3.0

#: Times the longest wait on lent capacity after which a request is given up. Load: a
#: pool whose sold work grows; harm: lent work waits until its deadline and is refused
#: then; reason: an estimate of less than half the wait was wrong, and it is said.
LENT_PATIENCE = 2.0

#: What waits are corrected by: the weight of the newest, the most, and what a refusal
#: leaves of it. Load: work that comes later and goes first, which no look at the queue
#: shows; harm: requests admitted to a wait that ends in a refusal; reason: what the
#: last waits were tells; a correction that refuses all is slowly forgotten.
CORRECTION_WEIGHT = 0.1
MOST_CORRECTION = 20.0
DOUBT_CORRECTION = 0.995

#: Waits below this many seconds are noise.
LEAST_WAIT_S = 0.1

#: Seconds over which the sold work that comes in is averaged.
SOLD_AVERAGE_S = 5.0

#: Least part of the places that lent work counts on, to keep estimates finite.
LEAST_LENT_PART = 0.02

#: What an estimate is multiplied by before it is held against the deadline. Load:
#: saturation; harm: an answer that comes just too late has cost a slot for nothing;
#: reason: answers of one pipeline spread by about this much.
ESTIMATE_MARGIN = 1.1

#: Shortest and longest time to come back that callers are told, in seconds.
LEAST_RETRY_AFTER_S = 0.2
MOST_RETRY_AFTER_S = 60.0

#: Part of the time to come back that is spread at random. Load: a burst refused as
#: one; harm: it comes back as one; reason: a quarter spreads it over the drain.
RETRY_SPREAD = 0.25

#: Output tokens expected of a pipeline while little is known of it. Load: the first
#: requests after a start; harm: refusals that rest on a guess; reason: short enough
#: that only a deadline that nothing could meet is refused.
FIRST_OUTPUT_TOKENS = 16.0

#: Answers from which on a pipeline's lengths are believed.
LEAST_SAMPLES = 8

#: What a refusal leaves of the length that it rests on. Load: one run of long answers;
#: harm: every later request is refused on it, so that no shorter answer is ever seen;
#: reason: some dozens of refusals and one is let through that measures anew.
DOUBT = 0.98


def expect_output(outputs: Outputs, bound: int) -> float:
    """Return the output tokens to expect of a request that may have `bound`."""
    is_known = outputs.samples >= LEAST_SAMPLES
    return min(float(bound), outputs.tokens if is_known else FIRST_OUTPUT_TOKENS)


def note_output(outputs: Outputs, tokens: int) -> None:
    """Take in the length of an answer; follows the length nine in ten stay under."""
    outputs.samples += 1
    if not outputs.tokens:
        outputs.tokens = float(max(1, tokens))
        return
    step = 0.05 * outputs.tokens
    outputs.tokens += step * (0.9 if tokens > outputs.tokens else -0.1)
    outputs.tokens = max(1.0, outputs.tokens)


def doubt_output(outputs: Outputs) -> None:
    """Believe a little less in the length that a request was refused for."""
    outputs.tokens *= DOUBT


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
    ahead_s = estimate_ahead_s(queue, ticket, weight=weight)
    rate = max(1.0, places)
    correction = 1.0
    if ticket.is_lent:
        correction = queue.corrections.get(ticket.urgency, 1.0)
        # Sold work that comes later still goes first, so lent work has the rest only.
        sold_rate = queue.sold_rate * math.exp(
            -max(0.0, now - queue.sold_at) / SOLD_AVERAGE_S
        )
        rate *= max(LEAST_LENT_PART, 1 - sold_rate / rate)
    return (ahead_s + ticket.service_s / 2) / rate * correction


def note_wait(queue: FairQueue, ticket: Ticket, *, now: float) -> None:
    """Take in how long a ticket on lent capacity waited to its start or its end."""
    if not ticket.is_lent:
        return
    expected_s = max(ticket.expected_wait_s, LEAST_WAIT_S)
    found = max(now - ticket.queued_at, LEAST_WAIT_S) / expected_s
    known = queue.corrections.get(ticket.urgency, 1.0)
    wanted = min(found * known, MOST_CORRECTION)
    queue.corrections[ticket.urgency] = max(
        1.0, known + CORRECTION_WEIGHT * (wanted - known)
    )


def _doubt_correction(queue: FairQueue, ticket: Ticket) -> None:
    """Believe a little less in the correction that a request was refused for."""
    known = queue.corrections.get(ticket.urgency, 1.0)
    queue.corrections[ticket.urgency] = 1 + (known - 1) * DOUBT_CORRECTION


def _note_sold(queue: FairQueue, service_s: float, now: float) -> None:
    """Average the sold work that comes in."""
    kept = math.exp(-max(0.0, now - queue.sold_at) / SOLD_AVERAGE_S)
    queue.sold_rate = queue.sold_rate * kept + service_s / SOLD_AVERAGE_S
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
    """Put a request in the queue, or say at once why not and when to come back.

    Returns the ticket as it was queued. `running` counts this instance's requests on
    the pool and `places` how many it may have there.
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
    most_s = _limit_wait_s(queued, now)
    if is_sold:
        _note_sold(queue, ticket.service_s, now)
    if wait_s <= most_s:
        patience_s = MOST_LENT_WAIT_S * LENT_PATIENCE
        queued = replace(
            queued,
            queued_at=now,
            expected_wait_s=wait_s,
            latest_start=now + patience_s if queued.is_lent else math.inf,
        )
        push_ticket(queue, queued, weight=weight)
        return queued
    if queued.is_lent:
        _doubt_correction(queue, queued)
    if is_sold:
        bucket.level += ticket.tokens
        code = _name_cause(queued, wait_s, now)
        return _refuse(code, wait_s - most_s, wait_s, generator)
    promised_s = promise_tokens(bucket, ticket.tokens, now=now)
    over_s = wait_s - most_s
    after_s = over_s if promised_s is None else max(promised_s, LEAST_RETRY_AFTER_S)
    return _refuse(ResultCode.OVER_SHARE, after_s, wait_s, generator)


def _limit_wait_s(ticket: Ticket, now: float) -> float:
    slack_s = ticket.deadline - now - ticket.service_s * ESTIMATE_MARGIN
    most_s = MOST_WAIT_S[ticket.urgency]
    if ticket.is_lent:
        most_s = min(most_s, MOST_LENT_WAIT_S)
    return max(0.0, min(most_s, slack_s / ESTIMATE_MARGIN))


def _name_cause(ticket: Ticket, wait_s: float, now: float) -> ResultCode:
    is_late = now + wait_s + ticket.service_s > ticket.deadline
    return ResultCode.DEADLINE_TOO_NEAR if is_late else ResultCode.QUEUE_FULL


def _refuse(
    code: ResultCode, after_s: float, wait_s: float, generator: random.Random
) -> Refusal:
    spread_s = after_s * (1 + RETRY_SPREAD * generator.random())
    retry_after_s = min(max(spread_s, LEAST_RETRY_AFTER_S), MOST_RETRY_AFTER_S)
    return Refusal(code=code, retry_after_s=retry_after_s, wait_s=wait_s)
