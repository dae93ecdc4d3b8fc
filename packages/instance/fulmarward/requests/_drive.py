"""Drives a chain token by token, each token through all stages in order.

The stages ensure that a step runs at most once: each refuses a position that it has
run already, that is not the next one, or whose attempt is closed. A driver can
therefore resend a step whose outcome it does not know. Two drivers of one chain (the
first was suspended and resumed) cannot run a step twice: the later one is refused
and reads the result of the step instead. A driver that takes over a chain claims it
at all stages with a newer term, after which the older driver is always refused.
"""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass

from fulmarward.targets import (
    StepDone,
    StepRefused,
    StepRequest,
    StreamBroken,
    StreamUnknown,
)
from fulmarward_core.streams import Stage

#: Number of unanswered reads of a step's result at which the stage counts as lost. The
#: limit keeps a dead stage from holding its callers. The first read recovers a lost
#: reply, and the second covers a lost connection.
MAX_UNANSWERED = 2

#: Maximum tries of one step. Guards against a stage that answers reads but never
#: runs the step. A step that is running at a loaded stage is found within a few
#: tries.
MAX_SENDS = 10

#: Errors of a stage when another driver has taken over the attempt or closed it.
_CLOSED_ERRORS = ("closed", "superseded", "moved")


@dataclass(frozen=True, kw_only=True)
class StageCalls:
    """The calls to a stage, bound to one attempt."""

    run_step: Callable[
        [Stage, StepRequest], Awaitable[StepDone | StepRefused | StreamBroken]
    ]
    #: Reads the results of the steps after a position.
    read_steps: Callable[
        [Stage, int], Awaitable[tuple[StepDone, ...] | StreamUnknown | StreamBroken]
    ]


@dataclass(frozen=True, kw_only=True)
class StageLost:
    """The attempt cannot continue, because a stage failed or refused."""

    #: The stage that failed.
    stage: Stage
    detail: str
    #: Whether a step of this attempt may have run anywhere.
    may_have_run: bool
    #: Whether another driver has taken over the attempt or closed it.
    is_closed: bool
    #: Whether no connection to the stage could be made.
    is_unreachable: bool


@dataclass(kw_only=True)
class ChainRun:
    """One attempt on a chain."""

    #: The stages of the chain; changes when a cache is moved.
    stages: tuple[Stage, ...]
    calls: StageCalls
    #: Builds the request of a step from its stage, position and input.
    make_step_request: Callable[[Stage, int, object], StepRequest]
    #: Whether a step of this attempt may have run anywhere.
    may_have_run: bool = False


async def run_position(
    run: ChainRun, position: int, value: object
) -> StepDone | StageLost:
    """Run one token through all stages; return the result of the last one."""
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
    step_request = run.make_step_request(stage, position, value)
    unanswered = 0
    may_send = True
    for _ in range(MAX_SENDS):
        if may_send:
            outcome = await run.calls.run_step(stage, step_request)
        if isinstance(outcome, StepDone):
            return outcome
        if isinstance(outcome, StepRefused) and outcome.error != "seen":
            if not outcome.is_unreachable:
                return _make_stage_lost(run, stage, outcome)
        else:
            run.may_have_run = True
            # A restarted stage accepts position 0 as new, so a first step that may
            # have arrived is only read, never resent.
            may_send = position > 0
        found = await read_step_result(run, stage, position)
        if isinstance(found, StepDone):
            return found
        if isinstance(found, StreamUnknown):
            return _make_stage_lost(run, stage, StepRefused(error="no_cache"))
        if isinstance(found, StreamBroken):
            unanswered += 1
        if unanswered >= MAX_UNANSWERED:
            break
    return _make_stage_lost(run, stage, outcome)


async def read_step_result(
    run: ChainRun, stage: Stage, position: int
) -> StepDone | StreamUnknown | StreamBroken | None:
    """Return the result of a step whose reply was lost, or `None` if it did not run.

    Prevents running a step twice after a lost reply. A stage without the cache counts
    as lost even at position 0: it may have run the step and been restarted.
    """
    found = await run.calls.read_steps(stage, position - 1)
    if isinstance(found, tuple):
        return found[0] if found and found[0].position == position else None
    return found


def _make_stage_lost(
    run: ChainRun, stage: Stage, outcome: StepRefused | StreamBroken
) -> StageLost:
    is_refused = isinstance(outcome, StepRefused)
    return StageLost(
        stage=stage,
        detail=outcome.error if is_refused else outcome.detail,
        may_have_run=run.may_have_run,
        is_closed=is_refused and outcome.error in _CLOSED_ERRORS,
        is_unreachable=is_refused and outcome.is_unreachable,
    )
