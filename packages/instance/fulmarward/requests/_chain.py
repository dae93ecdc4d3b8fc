"""One attempt of a completion on a chain of targets, each with a range of layers."""

import asyncio

from fulmarward._instance import Instance
from fulmarward.answers import Answer
from fulmarward.observability import log_event
from fulmarward.requests._chain_calls import make_chain_run, make_stage_lost
from fulmarward.requests._chain_choice import list_chain_offers, list_stage_views
from fulmarward.requests._chain_end import close_chain_later, give_up_chain
from fulmarward.requests._chain_progress import (
    ChainProgress,
    count_stages,
    counted_stages,
    uncount_stages,
)
from fulmarward.requests._completion_request import CompletionRequest
from fulmarward.requests._drive import (
    ChainRun,
    StageLost,
    run_position,
)
from fulmarward.requests._move import move_stage
from fulmarward.requests._progress import (
    DIFFERS,
    append_texts,
)
from fulmarward.targets import (
    StepDone,
    StreamBroken,
)
from fulmarward_core.chains import (
    Chain,
    choose_move,
    covers_layers,
)
from fulmarward_core.results import Failure, ResultCode, make_failure
from fulmarward_core.streams import Stage

#: A position beyond all others. Reading after it returns no steps, only claims the
#: attempt.
BEYOND_LAST_POSITION = 2**31


#: Tokens between checks whether to move a stage. At some milliseconds per token, a
#: leaving or slow target is noticed within a second. Each check computes all offers.
MOVE_CHECK_TOKENS = 32


async def run_chain(
    instance: Instance,
    work: CompletionRequest,
    answer: Answer,
    number: int,
    chain: Chain,
    version: str,
) -> Failure | None:
    """Run the request on a chain; return the failure, if any."""
    attempt = ChainProgress(number=number, stages=chain.stages)
    return await _drive(instance, work, answer, attempt, version)


async def attach_chain(
    instance: Instance,
    work: CompletionRequest,
    answer: Answer,
    number: int,
    stages: tuple[Stage, ...],
) -> Failure | None:
    """Take over a chain that another instance drove, reading from its first token.

    Prevents a first step that runs twice: a restarted stage accepts position 0 as new,
    so only the driver that numbered the attempt sends position 0. Another driver
    continues only if the last stage has produced a token, which proves that position
    0 ran at all stages. No locator is published before that.
    """
    layers = work.snapshot.declaration.models[work.pipeline.model].layers
    if not covers_layers(stages, layers=layers):
        return make_failure(ResultCode.STREAM_LOST, "The model has other layers now.")
    term = int(instance.read_wall_clock() * 1000)
    attempt = ChainProgress(number=number, stages=stages, term=term)
    return await _drive(instance, work, answer, attempt, None)


async def _drive(
    instance: Instance,
    work: CompletionRequest,
    answer: Answer,
    attempt: ChainProgress,
    version: str | None,
) -> Failure | None:
    """Drive an attempt to its end; `version` is `None` if it was started before."""
    is_new = version is not None
    was_dispatched, answer.is_dispatched = answer.is_dispatched, True
    run = make_chain_run(instance, work, attempt, version)
    run.may_have_run = not is_new
    try:
        with counted_stages(instance, attempt):
            lost = await _run_tokens(instance, work, answer, attempt, run, is_new)
    except asyncio.CancelledError:
        close_chain_later(instance, work, answer, attempt)
        raise
    if lost is None:
        close_chain_later(instance, work, answer, attempt, kept=attempt.stages[-1:])
        return None
    if not lost.may_have_run:
        answer.is_dispatched = was_dispatched
    return await give_up_chain(instance, work, attempt, lost)


async def _run_tokens(
    instance: Instance,
    work: CompletionRequest,
    answer: Answer,
    attempt: ChainProgress,
    run: ChainRun,
    is_new: bool,
) -> StageLost | None:
    """Run token after token until the last stage reports the end of the answer."""
    done = None if is_new else await _read_tokens(instance, work, answer, attempt, run)
    while not isinstance(done, StageLost):
        if done is not None and done.end:
            answer.finish(done.end)
            return None
        if attempt.received and attempt.received % MOVE_CHECK_TOKENS == 0:
            lost = await _move_stage_if_needed(instance, work, attempt, run)
            if lost is not None:
                return lost
        value = done.output if done else None
        done = await run_position(run, attempt.received, value)
        if isinstance(done, StepDone):
            done = _append_steps(instance, work, answer, attempt, run, (done,))
    return done


async def _move_stage_if_needed(
    instance: Instance, work: CompletionRequest, attempt: ChainProgress, run: ChainRun
) -> StageLost | None:
    """Move one stage's cache away from a leaving or slow target."""
    views = {view.name: view for view in list_stage_views(instance, work)}
    leaving = {name for name, view in views.items() if view.leaving}
    offers = list_chain_offers(instance, work, list(views.values()))
    move = choose_move(offers, attempt.stages, leaving=leaving)
    if move is None:
        return None
    stage, offer = move
    moved = await move_stage(
        instance, stage, offer.target, request=work.request, attempt=attempt.number
    )
    log_event(
        "stage_move_attempted",
        request=work.request,
        attempt=attempt.number,
        position=attempt.received,
        layers=stage.layers,
        source=stage.target,
        chosen=offer.target,
        reason="leaving" if stage.target in leaving else "slow",
        outcome=type(moved).__name__,
    )
    if moved is None:
        return None
    if isinstance(moved, StreamBroken):
        return make_stage_lost(run, stage, moved.detail)
    stages = tuple(moved if item == stage else item for item in run.stages)
    run.stages = attempt.stages = stages
    attempt.is_located = False
    uncount_stages(attempt)
    count_stages(instance, attempt)
    return None


async def _read_tokens(
    instance: Instance,
    work: CompletionRequest,
    answer: Answer,
    attempt: ChainProgress,
    run: ChainRun,
) -> StepDone | StageLost:
    """Claim the attempt at all stages and read the tokens of the last one."""
    last = run.stages[-1]
    claims = [
        run.calls.read_steps(stage, BEYOND_LAST_POSITION) for stage in run.stages[:-1]
    ]
    found, *_ = await asyncio.gather(run.calls.read_steps(last, -1), *claims)
    if isinstance(found, StreamBroken):
        found = await run.calls.read_steps(last, -1)
    if not isinstance(found, tuple) or not found:
        return make_stage_lost(run, last, "the last stage's cache is gone")
    return _append_steps(instance, work, answer, attempt, run, found)


def _append_steps(
    instance: Instance,
    work: CompletionRequest,
    answer: Answer,
    attempt: ChainProgress,
    run: ChainRun,
    steps: tuple[StepDone, ...],
) -> StepDone | StageLost:
    """Append the last stage's steps to the answer; return the newest step."""
    texts = [step.text for step in steps if step.text]
    end = steps[-1].end
    outcome = append_texts(instance, work, answer, attempt, texts, end)
    if outcome == DIFFERS:
        return make_stage_lost(run, run.stages[-1], DIFFERS)
    return steps[-1]
