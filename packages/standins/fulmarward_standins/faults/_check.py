"""Every ledger against what every caller was told."""

from collections import Counter, defaultdict
from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from typing import Any

from fulmarward_standins.faults._told import Ending, Told


@dataclass(frozen=True, kw_only=True)
class Verdict:
    """What a run came to; the last four have to be 0."""

    #: Pieces of work.
    requests: int
    #: By ending and result number.
    endings: Mapping[str, int]
    #: Work that may run once and ran more often.
    run_twice: int
    #: Work told not to have run, that ran.
    wrongly_not_run: int
    #: Answers told as whole that are not this work's whole answer.
    wrong_answers: int
    #: Layers run twice or out of order for a token of an attempt.
    wrong_layers: int
    #: The work behind the counts, a line each.
    details: tuple[str, ...] = ()

    @property
    def is_right(self) -> bool:
        """Whether every promise was kept."""
        faults = (
            self.run_twice,
            self.wrongly_not_run,
            self.wrong_answers,
            self.wrong_layers,
        )
        return not any(faults)


def check_told(told: Iterable[Told], lines: Iterable[Mapping[str, Any]]) -> Verdict:
    """Return the verdict on what callers were told, given the ledgers' lines."""
    told, lines = list(told), list(lines)
    runs = _list_runs(lines)
    twice = [item for item in told if not item.idempotent and len(runs[item.work]) > 1]
    wrongly = [
        item for item in told if item.ending is Ending.NOT_RUN and runs[item.work]
    ]
    wrong = [item for item in told if _is_wrong_answer(item)]
    return Verdict(
        requests=len(told),
        endings=Counter(_name_ending(item) for item in told),
        run_twice=len(twice),
        wrongly_not_run=len(wrongly),
        wrong_answers=len(wrong),
        wrong_layers=_count_wrong_layers(lines),
        details=tuple(
            f"{item}; ran as {sorted(runs[item.work])}"
            for item in [*twice, *wrongly, *wrong]
        ),
    )


def _name_ending(item: Told) -> str:
    return f"{item.ending.value} {item.result or ''}".strip()


def _is_wrong_answer(item: Told) -> bool:
    is_compared = item.ending is Ending.WHOLE and item.expected != ""
    return is_compared and item.answer != item.expected


def _list_runs(
    lines: list[Mapping[str, Any]],
) -> dict[str, set[tuple[str, int]]]:
    """Return the executions of each work: each (request, attempt) is one."""
    runs: dict[str, set[tuple[str, int]]] = defaultdict(set)
    for line in lines:
        if "work" in line:
            runs[line["work"]].add((line["request"], line["attempt"]))
    return runs


def _count_wrong_layers(lines: list[Mapping[str, Any]]) -> int:
    """Return the layer runs that are doubled, and tokens with a gap before them."""
    layers: dict[tuple[str, int, int], list[int]] = defaultdict(list)
    for line in lines:
        if line.get("event") == "ran":
            key = (line["request"], line["attempt"], line["position"])
            layers[key] += range(line["first_layer"], line["last_layer"] + 1)
    doubled = sum(len(run) - len(set(run)) for run in layers.values())
    gaps = sum(set(run) != set(range(max(run) + 1)) for run in layers.values())
    return doubled + gaps
