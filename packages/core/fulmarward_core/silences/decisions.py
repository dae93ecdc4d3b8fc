"""Which of the targets that were asked are lost, by who answered beside them.

An instance whose own link is full or cut hears nobody, and all that it asks look lost.
So a silence counts only beside an answer to what was asked in the same moment. What
comes unasked proves nothing: a link that is full on the way out still brings streams.
"""

from collections.abc import Collection, Mapping, Sequence
from dataclasses import dataclass
from itertools import chain, zip_longest
from statistics import median
from typing import TypeVar

from fulmarward_core.fleet import TargetRecord

#: Seconds in which a target answers a probe. Load: reports take a round trip of under
#: 1 ms and no slot; harm: a stream through a lost target stands still meanwhile.
PROBE_S = 0.035

#: Seconds for a second probe, where most of those asked did not answer the first,
#: answers came late, or this instance was late itself. Load: an instance that is cut
#: off, or short of link or processor, takes sound targets for lost; reason: longer than
#: the first, and a pause is too long by then. Where most answered, the second probe is
#: as short as the first: four targets that fail together were led around after 0.25 s,
#: and a pause of that is too long.
CONFIRM_S = 0.25

#: Seconds by which a probe's end may be late.
MOST_LATE_S = 0.015

#: Seconds of a short probe's time in which this instance may have stood still. Load: it
#: reads thousands of routes, or does not get its processor; harm: what was answered
#: meanwhile looks silent, and a sound target lost; reason: targets answer within 2 ms,
#: and the rest of the time is more than that ten times over.
MOST_PAUSE_S = 0.01

#: Part of a probe's time after which the usual answer is late itself. Load: a link
#: that fills up delays all answers, and cuts off some of them first.
MOST_ANSWER_PART = 0.5

#: Targets that are asked at least in one moment. Reason: the one in question, and two
#: in different data centres, one of which may be cut off or lost as well.
LEAST_ASKED = 3

#: Others asked beside those that were silent once.
REPEAT_WITNESSES = 2

_Item = TypeVar("_Item")


@dataclass(frozen=True, kw_only=True)
class AskedRound:
    """What came of asking several targets in one moment whether they live."""

    #: Names of all that were asked.
    asked: Sequence[str]
    #: Seconds that an answer took, by the name of the target that gave it.
    answers: Mapping[str, float]
    #: Seconds that each was given, and that the round took in the end.
    limit_s: float
    took_s: float
    #: Seconds of these in which this instance stood still, and heard nobody.
    paused_s: float = 0.0
    #: Whether they are asked again, since some were silent.
    is_repeat: bool = False

    def __post_init__(self) -> None:
        if not set(self.answers) <= set(self.asked):
            raise ValueError(
                f"expected answers of {self.asked}, found {set(self.answers)}"
            )

    @property
    def is_late(self) -> bool:
        """Whether this instance was late itself."""
        return self.took_s > self.limit_s + MOST_LATE_S

    @property
    def is_paused(self) -> bool:
        """Whether this instance stood still for too long to hear an answer in time."""
        return self.paused_s > MOST_PAUSE_S

    @property
    def silent(self) -> tuple[str, ...]:
        """Names of those that did not answer."""
        return tuple(name for name in self.asked if name not in self.answers)


@dataclass(frozen=True, kw_only=True)
class Finding:
    """What a round says."""

    #: Names of the targets that are lost.
    lost: tuple[str, ...] = ()
    #: Seconds to give the silent ones when they are asked again, `None` if they need
    #: not be.
    again_s: float | None = None
    #: Whether this instance hears nobody in time: the round says nothing of targets.
    is_own_silence: bool = False


def judge_round(asked_round: AskedRound) -> Finding:
    """Return which targets are lost, or how to ask again.

    Guards against an own pause that ends with the time of a round: the time-out is seen
    before the answers that came meanwhile, the round is not late, and a sound target
    would be lost. The silent ones are asked again then, and for longer if this instance
    pauses again.
    """
    silent = asked_round.silent
    if not silent:
        return Finding()
    hears = _hears(asked_round)
    if asked_round.limit_s >= CONFIRM_S:
        return Finding(lost=silent) if hears else Finding(is_own_silence=True)
    is_first = not asked_round.is_repeat
    is_most = is_first and len(silent) * 2 > len(asked_round.asked)
    is_paused_again = asked_round.is_paused and not is_first
    if not hears or asked_round.is_late or is_most or is_paused_again:
        return Finding(again_s=CONFIRM_S)
    if is_first and (len(silent) > 1 or asked_round.is_paused):
        return Finding(again_s=PROBE_S)
    return Finding(lost=silent)


def _hears(asked_round: AskedRound) -> bool:
    """Return whether this instance heard answers well within the time."""
    if not asked_round.answers:
        return False
    usual_s = median(asked_round.answers.values())
    return usual_s <= asked_round.limit_s * MOST_ANSWER_PART


def count_witnesses(in_question: int, *, is_repeat: bool = False) -> int:
    """Return how many others to ask beside those in question.

    A round that is large enough has answers of its own; each probe is paid for.
    """
    if is_repeat:
        return REPEAT_WITNESSES
    return max(0, LEAST_ASKED - in_question)


def choose_witnesses(
    records: Sequence[TargetRecord],
    *,
    barred: Collection[str],
    doubted: Collection[str] = (),
    count: int,
    turn: int,
) -> list[TargetRecord]:
    """Return whom to ask beside those in question, each in another data centre.

    `barred` are those in question or lost; another `turn` gives others. `doubted` are
    asked only where too few others are left: the silence of one that died would make
    the round longer, but without anybody beside it no loss is ever found.
    """
    sound = [r for r in records if not r.is_leaving and r.name not in barred]
    # A report of one that holds layers takes no slot.
    usable = [r for r in sound if r.layers is not None] or sound
    groups: dict[str, list[TargetRecord]] = {}
    for record in sorted(usable, key=lambda r: (r.data_centre, r.name)):
        groups.setdefault(record.data_centre, []).append(record)
    centres = _rotate(list(groups), turn)
    ranks = zip_longest(*(_rotate(groups[name], turn) for name in centres))
    ranked = [record for record in chain(*ranks) if record is not None]
    return sorted(ranked, key=lambda record: record.name in doubted)[:count]


def _rotate(items: list[_Item], turn: int) -> list[_Item]:
    start = turn % len(items) if items else 0
    return items[start:] + items[:start]
