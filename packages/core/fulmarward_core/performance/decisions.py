"""Adaptive concurrency limits, and ejection and probing of unhealthy targets.

The limit depends on the time to the first token that this instance measures, and not on
reports of the target, which are late and may be wrong.
"""

from collections.abc import Mapping
from statistics import median

from fulmarward_core.performance._types import Performance

#: Wait within a target, in seconds, above which the limit is cut. Under saturation, the
#: queue would build up in the engine, where requests are neither ordered fairly nor
#: dropped. A queue of one or two requests keeps all slots busy; more would only wait.
MAX_WAIT_S = 0.4

#: The same for work on lent capacity. If one instance has work within sold shares and
#: another only lent work, each would get half of the target. The instance that yields
#: at a shorter wait leaves the slots to the other.
MAX_LENT_WAIT_S = 0.03

#: Maximum part of a wait, in seconds, that counts as round-trip overhead. Otherwise
#: queues that other instances cause would be taken for overhead, and this instance
#: would not yield. Distant links and a busy process take this long; a queue takes
#: longer.
MAX_OVERHEAD_S = 0.03

#: Factor of a cut of the limit. A larger cut would leave slots idle; a tenth is
#: regained after about a tenth of the limit in successful answers.
CUT_FACTOR = 0.9

#: Minimum seconds between two cuts, so that many answers from one moment of overload do
#: not reduce the limit to 1. The effect of a cut shows after about this time.
MIN_CUT_INTERVAL_S = 0.5

#: Maximum of the limit as a multiple of the slots, so that it does not grow unnoticed
#: during a long queue. A quarter more than the slots hides the round trip between the
#: end of one request and the start of the next.
MAX_SLOTS_FACTOR = 1.25

#: Weight of the newest sample in the moving averages.
SAMPLE_WEIGHT = 0.2

#: Multiple of the pool's median token interval from which a target counts as slow and
#: may hold requests past their deadlines. Kinds of accelerators in a pool differ by
#: about a factor of two; a fault causes a larger difference.
SLOW_FACTOR = 3.0

#: Share of failed attempts from which a target is set aside. A target that fails fast
#: always looks idle and would attract all work. Three failures in a row exceed it.
MAX_FAILED_SHARE = 0.45

#: Maximum share of a pool that may be set aside at once. In a general slowdown or link
#: failure the pool would become empty, and the remaining targets would be overloaded.
#: If more than a third look unhealthy, the cause is something that they share.
MAX_ASIDE_SHARE = 1 / 3

#: Initial and maximum seconds for which a target is set aside. A restart takes seconds,
#: and doubling the time limits the work that is lost to probes of a broken target.
MIN_ASIDE_S = 2.0
MAX_ASIDE_S = 60.0

#: Successful probes, one at a time, before a target that was set aside is used
#: normally.
REQUIRED_PROBES = 3

#: Minimum prompt tokens for measuring the prompt processing speed by a first token.
MIN_PREFILL_SAMPLE_TOKENS = 64


def get_limit(performance: Performance, *, slots: int) -> float:
    """Return the maximum concurrent requests of this instance on the target."""
    if performance.probes_left:
        return 1.0
    return performance.limit or max(1.0, slots / 4)


def note_first_token(
    performance: Performance,
    *,
    slots: int,
    in_flight: int,
    load: float,
    waited_s: float,
    prompt_tokens: int,
    is_lent: bool,
    now: float,
) -> None:
    """Adjust the limit by the time to the first token of an answer.

    `in_flight` counts the requests of this instance on the target, and `load` the known
    requests of all instances. The wait within the target is the time that remains after
    subtracting that for the prompt and one token.
    """
    limit = get_limit(performance, slots=slots)
    is_busy = load >= slots / 2
    _note_prefill(performance, waited_s, prompt_tokens, is_busy=is_busy)
    wait_s = waited_s - prompt_tokens * performance.prefill_s - performance.token_s
    wait_s = _subtract_overhead(performance, wait_s, is_busy=is_busy)
    if wait_s > (MAX_LENT_WAIT_S if is_lent else MAX_WAIT_S):
        _cut_limit(performance, limit, CUT_FACTOR, now)
    elif in_flight >= limit - 1:
        step = 1.0 if performance.is_ramping else 1.0 / limit
        performance.limit = min(limit + step, slots * MAX_SLOTS_FACTOR)


def _note_prefill(
    performance: Performance, waited_s: float, prompt_tokens: int, *, is_busy: bool
) -> None:
    """Update the low quantile; raise it only if no queue can be the cause."""
    if prompt_tokens < MIN_PREFILL_SAMPLE_TOKENS:
        return
    sample = max(0.0, waited_s - performance.token_s) / prompt_tokens
    if sample < performance.prefill_s:
        performance.prefill_s += 0.05 * (sample - performance.prefill_s)
    elif not is_busy:
        performance.prefill_s += 0.1 * (sample - performance.prefill_s)


def _subtract_overhead(
    performance: Performance, wait_s: float, *, is_busy: bool
) -> float:
    """Return the wait without the round-trip overhead, and update that overhead.

    Guards against limits that fall to 1 because the network or this process is slow:
    the wait is then the same for one request as for many.
    """
    if wait_s < performance.overhead_s:
        performance.overhead_s += 0.2 * (max(0.0, wait_s) - performance.overhead_s)
    elif not is_busy:
        sample = min(wait_s, MAX_OVERHEAD_S)
        performance.overhead_s += 0.05 * (sample - performance.overhead_s)
    return wait_s - performance.overhead_s


def _cut_limit(
    performance: Performance, limit: float, factor: float, now: float
) -> None:
    if now - performance.cut_at < MIN_CUT_INTERVAL_S:
        return
    performance.limit = max(1.0, limit * factor)
    performance.is_ramping = False
    performance.cut_at = now


def note_refusal(performance: Performance, *, slots: int, now: float) -> None:
    """Cut the limit because the target was full; it does not count as a failure."""
    _cut_limit(performance, get_limit(performance, slots=slots), 0.5, now)


def note_speed(performance: Performance, *, tokens: int, streamed_s: float) -> None:
    """Update the token interval; `streamed_s` is from the first to the last token."""
    if tokens < 2:
        return
    sample = streamed_s / (tokens - 1)
    weight = SAMPLE_WEIGHT if performance.token_s else 1.0
    performance.token_s += weight * (sample - performance.token_s)


def note_success(performance: Performance, *, tokens: int, streamed_s: float) -> None:
    """Count a complete answer, streamed in `streamed_s` from first to last token."""
    performance.failed_share *= 1 - SAMPLE_WEIGHT
    note_speed(performance, tokens=tokens, streamed_s=streamed_s)
    if performance.probes_left:
        performance.probes_left -= 1
        if not performance.probes_left:
            performance.limit = 0.0
            performance.is_ramping = True


def note_failure(performance: Performance, *, slots: int, now: float) -> None:
    """Count a failed attempt and cut the limit; `review_pool` may set it aside."""
    performance.failed_share += SAMPLE_WEIGHT * (1 - performance.failed_share)
    _cut_limit(performance, get_limit(performance, slots=slots), 0.5, now)


def review_pool(
    pool: Mapping[str, Performance], *, now: float
) -> list[tuple[str, str]]:
    """Set aside the targets of a pool that are unhealthy compared with the others.

    Returns the newly set aside targets with the reason, a fixed string for logs. The
    worst are set aside first, up to `MAX_ASIDE_SHARE` of the pool.
    """
    if len(pool) < 2:
        return []
    speeds = [
        performance.token_s for performance in pool.values() if performance.token_s
    ]
    median_token_s = median(speeds) if speeds else 0.0
    median_failed_share = median(
        performance.failed_share for performance in pool.values()
    )
    aside = sum(1 for performance in pool.values() if performance.aside_until > now)
    allowed = max(1, int(len(pool) * MAX_ASIDE_SHARE)) - aside
    unhealthy = []
    for name, performance in pool.items():
        reason, severity = _classify(performance, median_token_s, median_failed_share)
        if reason and performance.aside_until <= now:
            unhealthy.append((severity, name, reason))
    unhealthy.sort(reverse=True)
    for _, name, _ in unhealthy[: max(0, allowed)]:
        _set_aside(pool[name], now)
    return [(name, reason) for _, name, reason in unhealthy[: max(0, allowed)]]


def _classify(
    performance: Performance, median_token_s: float, median_failed_share: float
) -> tuple[str, float]:
    is_failing = performance.failed_share > max(
        MAX_FAILED_SHARE, 2 * median_failed_share
    )
    if is_failing or (performance.probes_left and performance.failed_share > 0):
        return "failing", 1e3 * (1 + performance.failed_share)
    if median_token_s and performance.token_s > SLOW_FACTOR * median_token_s:
        return "slow", performance.token_s / median_token_s
    return "", 0.0


def _set_aside(performance: Performance, now: float) -> None:
    """Set a target aside for twice as long as last time, and reset its measurements."""
    performance.aside_s = min(MAX_ASIDE_S, 2 * performance.aside_s or MIN_ASIDE_S)
    performance.aside_until = now + performance.aside_s
    performance.probes_left = REQUIRED_PROBES
    performance.failed_share = 0.0
    performance.token_s = 0.0
