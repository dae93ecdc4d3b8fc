"""One attempt of a completion on a chain of targets, each with a range of layers."""

import asyncio

from fulmarward._instance import Instance
from fulmarward.answers import Answer
from fulmarward.observability import log_event
from fulmarward.requests._chain_calls import make_lost, make_run
from fulmarward.requests._chain_choice import list_chain_offers, list_stage_views
from fulmarward.requests._chain_end import close_chain_later, give_up_chain
from fulmarward.requests._chain_progress import (
    ChainProgress,
    count_stages,
    discount_stages,
    hold_stages,
)
from fulmarward.requests._drive import (
    ChainRun,
    StageLost,
    run_position,
)
from fulmarward.requests._move import move_stage
from fulmarward.requests._progress import (
    DIFFERS,
    take_texts,
)
from fulmarward.requests._work import Work
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

#: A position past any other: asks a stage for nothing, to claim the attempt only.
LAST_STEP = 2**31


#: Tokens between two looks whether a stage should move: at some milliseconds a token
#: a leaving or slow target is noticed within a second, and a look costs all offers.
MOVE_LOOK_TOKENS = 32


async def run_chain(
    instance: Instance,
    work: Work,
    answer: Answer,
    number: int,
    chain: Chain,
    version: str,
) -> Failure | None:
    """Run the request on a chain; returns why it did not end well."""
    attempt = ChainProgress(number=number, stages=chain.stages)
    return await _drive(instance, work, answer, attempt, version)


async def attach_chain(
    instance: Instance,
    work: Work,
    answer: Answer,
    number: int,
    stages: tuple[Stage, ...],
) -> Failure | None:
    """Go on with a chain that another instance drove, from its first token on.

    Guards against a first step that runs twice: a stage that was restarted takes
    position 0 for new. So position 0 is sent only by the driver that gave the attempt
    its number. Another goes on only where the last stage has given a token, which
    proves that position 0 ran everywhere, and no locator is out before.
    """
    layers = work.snapshot.declaration.models[work.pipeline.model].layers
    if not covers_layers(stages, layers=layers):
        return make_failure(ResultCode.STREAM_LOST, "The model has other layers now.")
    term = int(instance.read_wall_clock() * 1000)
    attempt = ChainProgress(number=number, stages=stages, term=term)
    return await _drive(instance, work, answer, attempt, None)


async def _drive(
    instance: Instance,
    work: Work,
    answer: Answer,
    attempt: ChainProgress,
    version: str | None,
) -> Failure | None:
    """Drive a new attempt of `version`, or one that has begun (`None`), to its end."""
    is_new = version is not None
    was_dispatched, answer.is_dispatched = answer.is_dispatched, True
    run = make_run(instance, work, attempt, version)
    run.may_have_run = not is_new
    try:
        with hold_stages(instance, attempt):
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
    work: Work,
    answer: Answer,
    attempt: ChainProgress,
    run: ChainRun,
    is_new: bool,
) -> StageLost | None:
    """Run token after token until the last stage says that the answer ends."""
    done = None if is_new else await _read_tokens(instance, work, answer, attempt, run)
    while not isinstance(done, StageLost):
        if done is not None and done.end:
            answer.finish(done.end)
            return None
        if attempt.seen and attempt.seen % MOVE_LOOK_TOKENS == 0:
            lost = await _consider_move(instance, work, attempt, run)
            if lost is not None:
                return lost
        value = done.output if done else None
        done = await run_position(run, attempt.seen, value)
        if isinstance(done, StepDone):
            done = _take_steps(instance, work, answer, attempt, run, (done,))
    return done


async def _consider_move(
    instance: Instance, work: Work, attempt: ChainProgress, run: ChainRun
) -> StageLost | None:
    """Move one stage's cache off a leaving or slow target, between two tokens."""
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
        "move_stage",
        request=work.request,
        attempt=attempt.number,
        position=attempt.seen,
        layers=stage.layers,
        source=stage.target,
        chosen=offer.target,
        reason="leaving" if stage.target in leaving else "slow",
        outcome=type(moved).__name__,
    )
    if moved is None:
        return None
    if isinstance(moved, StreamBroken):
        return make_lost(run, stage, moved.detail)
    stages = tuple(moved if item == stage else item for item in run.stages)
    run.stages = attempt.stages = stages
    attempt.is_located = False
    discount_stages(attempt)
    count_stages(instance, attempt)
    return None


async def _read_tokens(
    instance: Instance,
    work: Work,
    answer: Answer,
    attempt: ChainProgress,
    run: ChainRun,
) -> StepDone | StageLost:
    """Claim the attempt at all stages; read the tokens that the last has given."""
    last = run.stages[-1]
    claims = [run.calls.read_steps(stage, LAST_STEP) for stage in run.stages[:-1]]
    found, *_ = await asyncio.gather(run.calls.read_steps(last, -1), *claims)
    if isinstance(found, StreamBroken):
        found = await run.calls.read_steps(last, -1)
    if not isinstance(found, tuple) or not found:
        return make_lost(run, last, "the last stage's cache is gone")
    return _take_steps(instance, work, answer, attempt, run, found)


def _take_steps(
    instance: Instance,
    work: Work,
    answer: Answer,
    attempt: ChainProgress,
    run: ChainRun,
    steps: tuple[StepDone, ...],
) -> StepDone | StageLost:
    """Append the last stage's steps to the answer; returns the newest."""
    texts = [step.text for step in steps if step.text]
    end = steps[-1].end
    outcome = take_texts(instance, work, answer, attempt, texts, end)
    if outcome == DIFFERS:
        return make_lost(run, run.stages[-1], DIFFERS)
    return steps[-1]
