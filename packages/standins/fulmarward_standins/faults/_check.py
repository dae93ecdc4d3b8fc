"""Checks the ledgers against the outcomes reported to callers."""

from collections import Counter, defaultdict
from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from typing import Any

from fulmarward_standins.faults._work_records import Outcome, WorkRecord


@dataclass(frozen=True, kw_only=True)
class Verdict:
    """Result of a run; the last four counts have to be 0."""

    #: Number of requests.
    requests: int
    #: Requests by outcome and result number.
    outcomes: Mapping[str, int]
    #: Requests that may run at most once and ran more often.
    run_twice: int
    #: Requests reported as not run that ran.
    wrongly_not_run: int
    #: Responses reported as complete that differ from the expected one.
    wrong_answers: int
    #: Layers run twice or out of order for one token of an attempt.
    wrong_layers: int
    #: One line for each request in the counts.
    details: tuple[str, ...] = ()

    @property
    def is_right(self) -> bool:
        """Whether no guarantee was violated."""
        faults = (
            self.run_twice,
            self.wrongly_not_run,
            self.wrong_answers,
            self.wrong_layers,
        )
        return not any(faults)


def check_records(
    records: Iterable[WorkRecord], lines: Iterable[Mapping[str, Any]]
) -> Verdict:
    """Check the callers' records against the lines of the ledgers."""
    records, lines = list(records), list(lines)
    runs = _list_runs(lines)
    run_twice = [
        item for item in records if not item.idempotent and len(runs[item.work]) > 1
    ]
    wrongly_not_run = [
        item for item in records if item.outcome is Outcome.NOT_RUN and runs[item.work]
    ]
    wrong_answers = [item for item in records if _is_wrong_answer(item)]
    return Verdict(
        requests=len(records),
        outcomes=Counter(_describe_outcome(item) for item in records),
        run_twice=len(run_twice),
        wrongly_not_run=len(wrongly_not_run),
        wrong_answers=len(wrong_answers),
        wrong_layers=_count_wrong_layers(lines),
        details=tuple(
            f"{item}; ran as {sorted(runs[item.work])}"
            for item in [*run_twice, *wrongly_not_run, *wrong_answers]
        ),
    )


def _describe_outcome(item: WorkRecord) -> str:
    return f"{item.outcome.value} {item.result or ''}".strip()


def _is_wrong_answer(item: WorkRecord) -> bool:
    is_compared = item.outcome is Outcome.WHOLE and item.expected != ""
    return is_compared and item.answer != item.expected


def _list_runs(
    lines: list[Mapping[str, Any]],
) -> dict[str, set[tuple[str, int]]]:
    """Return the executions by work digest; each (request, attempt) is one."""
    runs: dict[str, set[tuple[str, int]]] = defaultdict(set)
    for line in lines:
        if "work" in line:
            runs[line["work"]].add((line["request"], line["attempt"]))
    return runs


def _count_wrong_layers(lines: list[Mapping[str, Any]]) -> int:
    """Count layers that ran twice and tokens that skipped an earlier layer."""
    layers: dict[tuple[str, int, int], list[int]] = defaultdict(list)
    for line in lines:
        if line.get("event") == "ran":
            key = (line["request"], line["attempt"], line["position"])
            layers[key] += range(line["first_layer"], line["last_layer"] + 1)
    doubled = sum(len(run) - len(set(run)) for run in layers.values())
    gaps = sum(set(run) != set(range(max(run) + 1)) for run in layers.values())
    return doubled + gaps
