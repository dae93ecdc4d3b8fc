"""What an attempt tells of its target: waits, speed and failures."""

from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass

from fulmarward._instance import Instance
from fulmarward.admission import find_pool
from fulmarward.answers import Answer
from fulmarward.requests._work import Work
from fulmarward_core.performance import (
    note_failure,
    note_first_token,
    note_refusal,
    note_speed,
    note_success,
)
from fulmarward_core.results import Failure, ResultCode
from fulmarward_core.routing import TargetView, estimate_load

#: Wait for a first token, in seconds, after which an attempt that is ended counts as a
#: failure of its target. Load: a frozen engine; harm: its requests pass their
#: deadlines one by one and nothing ever speaks against it; reason: the longest first
#: token that is promised, and its peers are compared before it is set aside.
FROZEN_S = 2.0


@dataclass(kw_only=True)
class Measurement:
    """One attempt as it goes on."""

    #: The target.
    view: TargetView
    #: When it was sent, and when its first and its last tokens came; steady clock.
    sent_at: float
    first_at: float = 0.0
    last_at: float = 0.0
    #: Tokens so far.
    tokens: int = 0
    #: Whether the attempt came to its own end, and why it was no good one.
    has_ended: bool = False
    failure: Failure | None = None


@contextmanager
def measure_attempt(
    instance: Instance, work: Work, answer: Answer, view: TargetView
) -> Iterator[Measurement]:
    """Measure the attempt that is made inside."""
    measured = Measurement(view=view, sent_at=instance.read_clock())

    def take_tokens(tokens: int) -> None:
        _take_tokens(instance, work, measured, tokens)

    answer.on_texts = take_tokens
    try:
        yield measured
    finally:
        answer.on_texts = None
        _take_end(instance, measured)


def _take_tokens(
    instance: Instance, work: Work, measured: Measurement, tokens: int
) -> None:
    now = instance.read_clock()
    if not measured.tokens:
        measured.first_at = now
        _take_first(instance, work, measured, now)
    measured.tokens += tokens
    measured.last_at = now


def _take_first(
    instance: Instance, work: Work, measured: Measurement, now: float
) -> None:
    view = measured.view
    pool = find_pool(instance.admission, work.pipeline.model)
    ticket = pool.running.get(work.request)
    note_first_token(
        view.performance,
        slots=view.target.slots,
        in_flight=view.in_flight,
        load=estimate_load(view, now=now),
        waited_s=now - measured.sent_at,
        prompt_tokens=len(work.prompt.split()),
        is_lent=ticket is not None and ticket.is_lent,
        now=now,
    )


def _take_end(instance: Instance, measured: Measurement) -> None:
    view, now = measured.view, instance.read_clock()
    failure = measured.failure
    if not measured.has_ended:
        _take_cancel(measured, now)
    elif failure is None:
        streamed_s = measured.last_at - measured.first_at
        note_success(view.performance, tokens=measured.tokens, streamed_s=streamed_s)
    elif failure.code is ResultCode.TARGET_REFUSED:
        note_refusal(view.performance, slots=view.target.slots, now=now)
    else:
        note_failure(view.performance, slots=view.target.slots, now=now)


def _take_cancel(measured: Measurement, now: float) -> None:
    """Take in what an attempt showed that was ended before its answer was whole."""
    view = measured.view
    if measured.tokens:
        streamed_s = measured.last_at - measured.first_at
        note_speed(view.performance, tokens=measured.tokens, streamed_s=streamed_s)
    elif now - measured.sent_at > FROZEN_S:
        note_failure(view.performance, slots=view.target.slots, now=now)
