"""Driving a chain: one token after the other, each through all stages in order.

The stages themselves keep the promise that a step runs once: each refuses a position
that it has run, that does not come next, or whose attempt is closed. A driver
therefore may send a step again whenever it does not know, and two drivers of one
chain (the first was frozen and woke) cannot run anything twice: the later one is
refused and reads back what the step gave. A driver that takes a chain over claims it
at all stages with a newer term, after which the older one is refused for good.
"""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass

from fulmarward.targets import (
    StepDone,
    StepOrder,
    StepRefused,
    StreamBroken,
    StreamUnknown,
)
from fulmarward_core.streams import Stage

#: Times in a row that a stage gives no answer to a step nor to the question what the
#: step gave. Harm: a dead stage holds its callers; reason: a lost reply is made up
#: for by the first question, and the second covers a lost connection.
MOST_SILENCES = 2

#: Times that one step is sent. Harm: a stage that answers questions but never runs
#: the step; reason: a step under way at a loaded stage is found within a few.
MOST_SENDINGS = 10

#: What a stage says when another driver goes on with the attempt, or has ended it.
_TAKEN_OVER = ("closed", "superseded", "moved")


@dataclass(frozen=True, kw_only=True)
class StageCalls:
    """How stages are reached."""

    #: Runs a step.
    run_step: Callable[
        [Stage, StepOrder], Awaitable[StepDone | StepRefused | StreamBroken]
    ]
    #: Reads what the steps after a position gave.
    read_steps: Callable[
        [Stage, int], Awaitable[tuple[StepDone, ...] | StreamUnknown | StreamBroken]
    ]


@dataclass(frozen=True, kw_only=True)
class StageLost:
    """The attempt cannot go on."""

    #: The stage that is at fault.
    stage: Stage
    #: What was seen.
    detail: str
    #: Whether a step of this attempt may have run anywhere.
    may_have_run: bool
    #: Whether another driver goes on with the attempt or closed it.
    is_closed: bool
    #: Whether no connection to the stage could be made.
    is_unreachable: bool


@dataclass(kw_only=True)
class ChainRun:
    """One attempt on a chain."""

    #: Where it runs; changes when a cache is moved.
    stages: tuple[Stage, ...]
    #: How the stages are reached.
    calls: StageCalls
    #: Makes the order of a step from its stage, position and input.
    make_order: Callable[[Stage, int, object], StepOrder]
    #: Whether a step of this attempt may have run anywhere.
    may_have_run: bool = False


async def run_position(
    run: ChainRun, position: int, value: object
) -> StepDone | StageLost:
    """Run one token through all stages; returns what the last one gave."""
    for stage in run.stages:
        done = await _run_stage(run, stage, position, value)
        if isinstance(done, StageLost):
            return done
        run.may_have_run = True
        value = done.output
    return done


async def _run_stage(
    run: ChainRun, stage: Stage, position: int, value: object
) -> StepDone | StageLost:
    order = run.make_order(stage, position, value)
    silences = 0
    may_send = True
    for _ in range(MOST_SENDINGS):
        if may_send:
            outcome = await run.calls.run_step(stage, order)
        if isinstance(outcome, StepDone):
            return outcome
        if isinstance(outcome, StepRefused) and outcome.error != "seen":
            if not outcome.is_unreachable:
                return _lose(run, stage, outcome)
        else:
            run.may_have_run = True
            # A stage that was restarted takes position 0 for new: what may have
            # arrived once is only asked for, and never sent again.
            may_send = position > 0
        found = await read_back(run, stage, position)
        if isinstance(found, StepDone):
            return found
        if isinstance(found, StreamUnknown):
            return _lose(run, stage, StepRefused(error="no_cache"))
        if isinstance(found, StreamBroken):
            silences += 1
        if silences >= MOST_SILENCES:
            break
    return _lose(run, stage, outcome)


async def read_back(
    run: ChainRun, stage: Stage, position: int
) -> StepDone | StreamUnknown | StreamBroken | None:
    """Return what a step gave whose reply was lost, or `None` if it did not run.

    Guards against running a step twice after a lost reply. A stage that knows no
    cache is lost even at position 0: it may have run the step and been restarted.
    """
    found = await run.calls.read_steps(stage, position - 1)
    if isinstance(found, tuple):
        return found[0] if found and found[0].position == position else None
    return found


def _lose(
    run: ChainRun, stage: Stage, outcome: StepRefused | StreamBroken
) -> StageLost:
    is_refused = isinstance(outcome, StepRefused)
    return StageLost(
        stage=stage,
        detail=outcome.error if is_refused else outcome.detail,
        may_have_run=run.may_have_run,
        is_closed=is_refused and outcome.error in _TAKEN_OVER,
        is_unreachable=is_refused and outcome.is_unreachable,
    )
