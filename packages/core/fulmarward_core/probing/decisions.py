"""Evaluation of probe rounds: which targets are unreachable, compared with controls.

To an instance whose own link is saturated or down, every target looks unreachable. A
missing answer therefore counts only if another target answered a probe that was sent at
the same time. Unsolicited incoming traffic proves nothing: a link that is saturated in
one direction still works in the other.
"""

from collections.abc import Collection, Mapping, Sequence
from dataclasses import dataclass
from itertools import chain, zip_longest
from statistics import median
from typing import TypeVar

from fulmarward_core.fleet import TargetRecord

#: Seconds within which a target answers a probe: a report does not occupy a slot.
PROBE_TIMEOUT_S = 0.035

#: Timeout in seconds of a second probe if the first round is inconclusive: most targets
#: did not answer, answers were slow, or this instance itself was late. Otherwise the
#: second probe is as short as the first, so that streams do not pause for too long.
CONFIRM_TIMEOUT_S = 0.25

#: Seconds by which a round may end after its timeout.
MAX_LATENESS_S = 0.015

#: Seconds for which the event loop may have been blocked during a short round. Answers
#: that arrive while it is blocked look missing.
MAX_PAUSE_S = 0.01

#: Calls per probe, evenly spaced, until one is answered. A single lost packet delays a
#: call's answer by a second.
PROBE_CALLS = 3

#: The same for a short round of a large fleet. Where many instances probe a target at
#: the same time, it answers after 10 to 20 ms, and calls further apart are enough.
LARGE_FLEET_PROBE_CALLS = 2

#: Share of a long round for which the event loop may have been blocked.
MAX_PAUSE_SHARE = 0.5

#: Share of the timeout above which the median answer counts as slow. A link that
#: becomes saturated delays all answers and drops some of them.
MAX_ANSWER_SHARE = 0.5

#: Minimum number of targets in a round: the one in question and two controls, since the
#: data centre of one control may be unreachable as well.
MIN_PROBED = 3

#: Controls in a round that repeats the probes of missing targets.
REPEAT_CONTROLS = 2

_Item = TypeVar("_Item")


@dataclass(frozen=True, kw_only=True)
class ProbeRound:
    """The answers of several targets that were probed at the same time."""

    #: Names of all probed targets, including controls.
    probed: Sequence[str]
    #: Latency of each answer in seconds, by target name.
    answers: Mapping[str, float]
    #: The timeout of each probe and the duration of the round, in seconds.
    timeout_s: float
    took_s: float
    #: Seconds during the round for which the event loop was blocked.
    paused_s: float = 0.0
    #: Whether the round repeats the probes of targets that did not answer before.
    is_repeat: bool = False
    #: Names of the targets that are probed for comparison only.
    controls: Collection[str] = ()
    #: Names of the targets that refused the connection or broke it off.
    closed: Collection[str] = ()

    def __post_init__(self) -> None:
        if not set(self.answers) <= set(self.probed):
            raise ValueError(
                f"expected answers only from {self.probed}, got {set(self.answers)}"
            )

    @property
    def is_late(self) -> bool:
        """Whether this instance ended the round too late after its timeout."""
        return self.took_s > self.timeout_s + MAX_LATENESS_S

    @property
    def is_paused(self) -> bool:
        """Whether the event loop was blocked too long to receive answers in time."""
        return self.paused_s > MAX_PAUSE_S

    @property
    def is_mostly_paused(self) -> bool:
        """Whether the event loop was blocked for most of the round."""
        return self.paused_s > self.timeout_s * MAX_PAUSE_SHARE

    @property
    def missing(self) -> tuple[str, ...]:
        """Names of the targets that did not answer, including controls."""
        return tuple(name for name in self.probed if name not in self.answers)

    @property
    def missing_in_question(self) -> tuple[str, ...]:
        """Names of the targets that did not answer, without the controls."""
        return tuple(name for name in self.missing if name not in self.controls)

    @property
    def missing_controls(self) -> tuple[str, ...]:
        """Names of the controls that did not answer."""
        return tuple(name for name in self.missing if name in self.controls)


@dataclass(frozen=True, kw_only=True)
class ProbeVerdict:
    """The result of evaluating a probe round."""

    #: Names of the targets that are unreachable.
    unreachable: tuple[str, ...] = ()
    #: Timeout in seconds for probing the missing targets again, `None` if not needed.
    retry_timeout_s: float | None = None
    #: Whether this instance is isolated: the round proves nothing about the targets.
    is_isolated: bool = False
    #: Names of the controls that did not answer and are to be probed next.
    suspects: tuple[str, ...] = ()


def count_calls(timeout_s: float, *, is_large: bool) -> int:
    """Return how many calls a probe makes at most until one is answered."""
    is_short = timeout_s < CONFIRM_TIMEOUT_S
    return LARGE_FLEET_PROBE_CALLS if is_large and is_short else PROBE_CALLS


def evaluate_round(probe_round: ProbeRound) -> ProbeVerdict:
    """Return which targets are unreachable, or how to probe them again.

    Guards against an event loop that is blocked until the round ends: the timeouts fire
    before the answers that arrived in between are read, the round is not late, and a
    healthy target would count as unreachable.

    A control that does not answer once only becomes a suspect. A target in question is
    judged by its first missing answer, since stalled streams or a failed connection
    preceded it.
    """
    missing = probe_round.missing
    if not missing:
        return ProbeVerdict()
    found = ProbeVerdict(
        unreachable=probe_round.missing_in_question,
        suspects=probe_round.missing_controls,
    )
    has_timely_answers = _has_timely_answers(probe_round)
    if probe_round.timeout_s >= CONFIRM_TIMEOUT_S:
        if has_timely_answers and not probe_round.is_mostly_paused:
            return found
        return ProbeVerdict(is_isolated=True)
    is_first = not probe_round.is_repeat
    is_most = is_first and len(missing) * 2 > len(probe_round.probed)
    is_paused_again = probe_round.is_paused and not is_first
    if not has_timely_answers or probe_round.is_late or is_most or is_paused_again:
        return ProbeVerdict(retry_timeout_s=CONFIRM_TIMEOUT_S)
    if is_first and (len(missing) > 1 or probe_round.is_paused):
        return ProbeVerdict(retry_timeout_s=PROBE_TIMEOUT_S)
    return found


def _has_timely_answers(probe_round: ProbeRound) -> bool:
    """Return whether the median answer arrived well within the timeout."""
    if not probe_round.answers:
        return False
    usual_s = median(probe_round.answers.values())
    return usual_s <= probe_round.timeout_s * MAX_ANSWER_SHARE


def count_controls(in_question: int, *, is_repeat: bool = False) -> int:
    """Return how many controls to probe together with the targets in question.

    A round with enough targets in question needs no controls: these serve as controls
    for each other.
    """
    if is_repeat:
        return REPEAT_CONTROLS
    return max(0, MIN_PROBED - in_question)


def choose_controls(
    records: Sequence[TargetRecord],
    *,
    excluded: Collection[str],
    suspected: Collection[str] = (),
    answered: Collection[str] = (),
    count: int,
    offset: int,
) -> list[TargetRecord]:
    """Return the controls to probe, spread over as many data centres as possible.

    `excluded` holds the targets in question and the unreachable ones; `offset` rotates
    the choice. `suspected` targets are chosen only if there are too few others: a dead
    control prolongs the round, but without any control no target is ever found to be
    unreachable. Those that have just `answered` are chosen first.
    """
    healthy = [r for r in records if not r.is_leaving and r.name not in excluded]
    # A report of a target that holds layers does not occupy a slot.
    usable = [r for r in healthy if r.layers is not None] or healthy
    groups: dict[str, list[TargetRecord]] = {}
    for record in sorted(usable, key=lambda r: (r.data_centre, r.name)):
        groups.setdefault(record.data_centre, []).append(record)
    centres = _rotate(list(groups), offset)
    ranks = zip_longest(*(_rotate(groups[name], offset) for name in centres))
    ranked = [record for record in chain(*ranks) if record is not None]
    ranked.sort(key=lambda r: (r.name not in answered, r.name in suspected))
    return ranked[:count]


def _rotate(items: list[_Item], offset: int) -> list[_Item]:
    start = offset % len(items) if items else 0
    return items[start:] + items[:start]
