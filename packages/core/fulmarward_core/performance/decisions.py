"""How much a target carries, and when it is set aside, probed and trusted again.

The limit follows what this instance itself measures, the time to the first token,
and not what the target reports: a report is late and may be false.
"""

from collections.abc import Mapping
from statistics import median

from fulmarward_core.performance._types import Performance

#: Wait inside a target, in seconds, above which the limit is cut. Load: saturation;
#: harm: a queue in the engine, where no fair order holds and nothing can be dropped;
#: reason: a queue of one or two requests keeps all slots busy, more only waits.
MOST_WAIT_S = 0.4

#: The same for work on lent capacity. Load: one instance has work inside sold shares
#: and another has lent work only; harm: both get half of the target; reason: the one
#: that yields at a shorter wait leaves the slots to the other.
MOST_LENT_WAIT_S = 0.03

#: Most of a wait, in seconds, that counts as the way there and back. Load: queues that
#: other instances cause; harm: they are taken for the way, and this instance does not
#: yield; reason: far links and a busy process take this long, a queue takes longer.
MOST_OVERHEAD_S = 0.03

#: What a cut leaves of the limit. Load: saturation; harm: idle slots after each cut;
#: reason: a tenth is won back in about a tenth of the limit's good answers.
CUT = 0.9

#: Seconds between two cuts. Load: many answers of one crowded moment; harm: the limit
#: falls to 1 for one queue; reason: the effect of a cut shows after about this long.
CUT_EVERY_S = 0.5

#: Most of its slots, as a factor, that one instance may fill. Load: a long queue;
#: harm: a limit that grew while nobody looked; reason: a quarter more than the slots
#: hides the round trip between an end and the next start.
MOST_SLOTS_SHARE = 1.25

#: Weight of the newest sample in the moving means.
SAMPLE_WEIGHT = 0.2

#: Times the pool's median token interval that make a target slow. Load: any; harm:
#: a slow target holds requests past their deadlines; reason: kinds of accelerators
#: differ about twofold inside a pool, a fault shows as more.
SLOW_FACTOR = 3.0

#: Share of failed tries that sets a target aside. Load: any; harm: one that fails
#: fast always looks idle and draws all the work; reason: three failures in a row.
MOST_FAILED_SHARE = 0.45

#: Share of a pool that may be aside at once. Load: a general slowdown or a broken
#: link; harm: the pool empties and the rest breaks under the load; reason: when more
#: than a third look bad, what is common to them is the cause.
MOST_ASIDE_SHARE = 1 / 3

#: Seconds aside the first time, and the longest. Reason: a restart takes seconds, and
#: the doubled time keeps the work lost to probes of a broken target small.
FIRST_ASIDE_S = 2.0
MOST_ASIDE_S = 60.0

#: Good answers, one at a time, before a target that was aside is trusted again.
PROBES = 3

#: Prompt tokens from which on a first token tells how fast prompts are read.
LEAST_PREFILL_SAMPLE = 64


def get_limit(performance: Performance, *, slots: int) -> float:
    """Return how many requests this instance may have on the target at once."""
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
    """Adapt the limit to the time that a first token took.

    `in_flight` is this instance's own and `load` what all have there, as far as is
    known. The wait inside the target is what is left
    after the time that the prompt and one token need.
    """
    limit = get_limit(performance, slots=slots)
    is_crowded = load >= slots / 2
    _note_prefill(performance, waited_s, prompt_tokens, is_crowded=is_crowded)
    wait_s = waited_s - prompt_tokens * performance.prefill_s - performance.token_s
    wait_s = _take_off_overhead(performance, wait_s, is_crowded=is_crowded)
    if wait_s > (MOST_LENT_WAIT_S if is_lent else MOST_WAIT_S):
        _cut(performance, limit, CUT, now)
    elif in_flight >= limit - 1:
        step = 1.0 if performance.is_ramping else 1.0 / limit
        performance.limit = min(limit + step, slots * MOST_SLOTS_SHARE)


def _note_prefill(
    performance: Performance, waited_s: float, prompt_tokens: int, *, is_crowded: bool
) -> None:
    """Follow the low quantile; upwards only while no queue can be the cause."""
    if prompt_tokens < LEAST_PREFILL_SAMPLE:
        return
    sample = max(0.0, waited_s - performance.token_s) / prompt_tokens
    if sample < performance.prefill_s:
        performance.prefill_s += 0.05 * (sample - performance.prefill_s)
    elif not is_crowded:
        performance.prefill_s += 0.1 * (sample - performance.prefill_s)


def _take_off_overhead(
    performance: Performance, wait_s: float, *, is_crowded: bool
) -> float:
    """Return the wait without the way there and back, which is followed meanwhile.

    Guards against limits that fall to 1 because the network or this process is slow,
    which shows as a wait that is the same with one request as with many.
    """
    if wait_s < performance.overhead_s:
        performance.overhead_s += 0.2 * (max(0.0, wait_s) - performance.overhead_s)
    elif not is_crowded:
        sample = min(wait_s, MOST_OVERHEAD_S)
        performance.overhead_s += 0.05 * (sample - performance.overhead_s)
    return wait_s - performance.overhead_s


def _cut(performance: Performance, limit: float, factor: float, now: float) -> None:
    if now - performance.cut_at < CUT_EVERY_S:
        return
    performance.limit = max(1.0, limit * factor)
    performance.is_ramping = False
    performance.cut_at = now


def note_refusal(performance: Performance, *, slots: int, now: float) -> None:
    """Take in that the target was full: the limit was too high, nothing is broken."""
    _cut(performance, get_limit(performance, slots=slots), 0.5, now)


def note_speed(performance: Performance, *, tokens: int, streamed_s: float) -> None:
    """Take in the `tokens` that came in `streamed_s` from the first to the last."""
    if tokens < 2:
        return
    sample = streamed_s / (tokens - 1)
    weight = SAMPLE_WEIGHT if performance.token_s else 1.0
    performance.token_s += weight * (sample - performance.token_s)


def note_success(performance: Performance, *, tokens: int, streamed_s: float) -> None:
    """Take in a whole answer of `tokens`, `streamed_s` from its first to its last."""
    performance.failed_share *= 1 - SAMPLE_WEIGHT
    note_speed(performance, tokens=tokens, streamed_s=streamed_s)
    if performance.probes_left:
        performance.probes_left -= 1
        if not performance.probes_left:
            performance.limit = 0.0
            performance.is_ramping = True


def note_failure(performance: Performance, *, slots: int, now: float) -> None:
    """Take in a try that failed: less work, and none when failures go on."""
    performance.failed_share += SAMPLE_WEIGHT * (1 - performance.failed_share)
    _cut(performance, get_limit(performance, slots=slots), 0.5, now)


def review_pool(
    pool: Mapping[str, Performance], *, now: float
) -> list[tuple[str, str]]:
    """Set aside the targets of a pool that are bad beside their peers.

    Returns the newly set aside with the reason, a fixed word for logs. The worst go
    first, and no more than the pool can spare.
    """
    if len(pool) < 2:
        return []
    speeds = [
        performance.token_s for performance in pool.values() if performance.token_s
    ]
    usual_s = median(speeds) if speeds else 0.0
    usual_failed = median(performance.failed_share for performance in pool.values())
    aside = sum(1 for performance in pool.values() if performance.aside_until > now)
    room = max(1, int(len(pool) * MOST_ASIDE_SHARE)) - aside
    found = []
    for name, performance in pool.items():
        reason, badness = _judge(performance, usual_s, usual_failed)
        if reason and performance.aside_until <= now:
            found.append((badness, name, reason))
    found.sort(reverse=True)
    for _, name, _ in found[: max(0, room)]:
        _set_aside(pool[name], now)
    return [(name, reason) for _, name, reason in found[: max(0, room)]]


def _judge(
    performance: Performance, usual_s: float, usual_failed: float
) -> tuple[str, float]:
    is_failing = performance.failed_share > max(MOST_FAILED_SHARE, 2 * usual_failed)
    if is_failing or (performance.probes_left and performance.failed_share > 0):
        return "failing", 1e3 * (1 + performance.failed_share)
    if usual_s and performance.token_s > SLOW_FACTOR * usual_s:
        return "slow", performance.token_s / usual_s
    return "", 0.0


def _set_aside(performance: Performance, now: float) -> None:
    """Set aside, twice as long as the last time; old measurements are forgotten."""
    performance.aside_s = min(MOST_ASIDE_S, 2 * performance.aside_s or FIRST_ASIDE_S)
    performance.aside_until = now + performance.aside_s
    performance.probes_left = PROBES
    performance.failed_share = 0.0
    performance.token_s = 0.0
