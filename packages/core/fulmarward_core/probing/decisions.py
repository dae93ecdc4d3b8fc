"""Which of the targets that were probed are unreachable, judged beside controls.

An instance whose own link is saturated or cut gets no answers, so that all that it
probes look unreachable. A missing answer counts only if another target answered a probe
that was sent in the same moment. Traffic that arrives unasked proves nothing: a link
that is saturated in one direction still carries the other one.
"""

from collections.abc import Collection, Mapping, Sequence
from dataclasses import dataclass
from itertools import chain, zip_longest
from statistics import median
from typing import TypeVar

from fulmarward_core.fleet import TargetRecord

#: Seconds in which a target answers a probe; a report takes no slot.
PROBE_TIMEOUT_S = 0.035

#: Seconds for a second probe where the first round is in doubt: most targets did not
#: answer, answers were slow, or this instance was late itself. Elsewhere the second
#: probe is as short as the first, so that streams do not pause for too long.
CONFIRM_TIMEOUT_S = 0.25

#: Seconds by which the end of a round may be late.
MAX_LATENESS_S = 0.015

#: Seconds for which the event loop may have been blocked during a short round. Answers
#: that arrive meanwhile look missing.
MAX_PAUSE_S = 0.01

#: Calls that one probe makes, evenly apart, until one is answered. A single lost packet
#: leaves a call unanswered for a second.
PROBE_CALLS = 3

#: Share of a long round for which the event loop may have been blocked.
MAX_PAUSE_SHARE = 0.5

#: Share of the timeout after which the usual answer counts as slow: a link that fills
#: up delays all answers, and drops some of them first.
MAX_ANSWER_SHARE = 0.5

#: Lower bound on the targets of a round: the one in question and two controls, one of
#: whose data centres may be cut off as well.
MIN_PROBED = 3

#: Controls of a round that probes missing targets again.
REPEAT_CONTROLS = 2

_Item = TypeVar("_Item")


@dataclass(frozen=True, kw_only=True)
class ProbeRound:
    """The answers of several targets that were probed in the same moment."""

    #: Names of all that were probed, controls included.
    probed: Sequence[str]
    #: Seconds that an answer took, by the name of the target that gave it.
    answers: Mapping[str, float]
    #: The timeout of each probe and the duration of the round, in seconds.
    timeout_s: float
    took_s: float
    #: Seconds of these for which the event loop was blocked.
    paused_s: float = 0.0
    #: Whether targets that did not answer before are probed again.
    is_repeat: bool = False
    #: Names of those that are probed for comparison only.
    controls: Collection[str] = ()

    def __post_init__(self) -> None:
        if not set(self.answers) <= set(self.probed):
            raise ValueError(
                f"expected answers of {self.probed}, found {set(self.answers)}"
            )

    @property
    def is_late(self) -> bool:
        """Whether this instance was late itself."""
        return self.took_s > self.timeout_s + MAX_LATENESS_S

    @property
    def is_paused(self) -> bool:
        """Whether the event loop was blocked for too long to see answers in time."""
        return self.paused_s > MAX_PAUSE_S

    @property
    def is_mostly_paused(self) -> bool:
        """Whether the event loop was blocked for most of the round."""
        return self.paused_s > self.timeout_s * MAX_PAUSE_SHARE

    @property
    def missing(self) -> tuple[str, ...]:
        """Names of those that did not answer."""
        return tuple(name for name in self.probed if name not in self.answers)

    @property
    def missing_in_question(self) -> tuple[str, ...]:
        """Names of those that did not answer, without the controls."""
        return tuple(name for name in self.missing if name not in self.controls)

    @property
    def missing_controls(self) -> tuple[str, ...]:
        """Names of the controls that did not answer."""
        return tuple(name for name in self.missing if name in self.controls)


@dataclass(frozen=True, kw_only=True)
class ProbeVerdict:
    """What follows from a round."""

    #: Names of the targets that are unreachable.
    unreachable: tuple[str, ...] = ()
    #: Timeout in seconds for probing the missing ones again, `None` if not needed.
    retry_timeout_s: float | None = None
    #: Whether this instance is isolated: the round says nothing about the targets.
    is_isolated: bool = False
    #: Names of controls that did not answer: to be probed in their own right.
    suspects: tuple[str, ...] = ()


def evaluate_round(probe_round: ProbeRound) -> ProbeVerdict:
    """Return which targets are unreachable, or how to probe them again.

    Guards against a pause of the event loop that ends together with the round: the
    timeouts are handled before the answers that arrived meanwhile, the round is not
    late, and a healthy target would be unreachable.

    One missing answer of a control makes it a suspect: the first one of a target in
    question has been preceded by stalled streams or a failed connection.
    """
    missing = probe_round.missing
    if not missing:
        return ProbeVerdict()
    found = ProbeVerdict(
        unreachable=probe_round.missing_in_question,
        suspects=probe_round.missing_controls,
    )
    hears_controls = _hears_controls(probe_round)
    if probe_round.timeout_s >= CONFIRM_TIMEOUT_S:
        if hears_controls and not probe_round.is_mostly_paused:
            return found
        return ProbeVerdict(is_isolated=True)
    is_first = not probe_round.is_repeat
    is_most = is_first and len(missing) * 2 > len(probe_round.probed)
    is_paused_again = probe_round.is_paused and not is_first
    if not hears_controls or probe_round.is_late or is_most or is_paused_again:
        return ProbeVerdict(retry_timeout_s=CONFIRM_TIMEOUT_S)
    if is_first and (len(missing) > 1 or probe_round.is_paused):
        return ProbeVerdict(retry_timeout_s=PROBE_TIMEOUT_S)
    return found


def _hears_controls(probe_round: ProbeRound) -> bool:
    """Return whether answers arrived well within the timeout."""
    if not probe_round.answers:
        return False
    usual_s = median(probe_round.answers.values())
    return usual_s <= probe_round.timeout_s * MAX_ANSWER_SHARE


def count_controls(in_question: int, *, is_repeat: bool = False) -> int:
    """Return how many controls to probe beside the targets in question.

    A round that is large enough has answers of its own.
    """
    if is_repeat:
        return REPEAT_CONTROLS
    return max(0, MIN_PROBED - in_question)


def choose_controls(
    records: Sequence[TargetRecord],
    *,
    excluded: Collection[str],
    suspected: Collection[str] = (),
    count: int,
    offset: int,
) -> list[TargetRecord]:
    """Return the controls to probe, each in another data centre.

    `excluded` are the targets in question and the unreachable ones; `offset` rotates
    the choice. `suspected` targets are chosen only where too few others are left: one
    that is dead prolongs the round, but without any control nothing is ever found to be
    unreachable.
    """
    healthy = [r for r in records if not r.is_leaving and r.name not in excluded]
    # A report of one that holds layers takes no slot.
    usable = [r for r in healthy if r.layers is not None] or healthy
    groups: dict[str, list[TargetRecord]] = {}
    for record in sorted(usable, key=lambda r: (r.data_centre, r.name)):
        groups.setdefault(record.data_centre, []).append(record)
    centres = _rotate(list(groups), offset)
    ranks = zip_longest(*(_rotate(groups[name], offset) for name in centres))
    ranked = [record for record in chain(*ranks) if record is not None]
    return sorted(ranked, key=lambda record: record.name in suspected)[:count]


def _rotate(items: list[_Item], offset: int) -> list[_Item]:
    start = offset % len(items) if items else 0
    return items[start:] + items[:start]
