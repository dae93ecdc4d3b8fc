"""One attempt of a completion on a chain of targets, each with a range of layers."""

import asyncio
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass, field

from fulmarward._instance import Instance
from fulmarward.answers import Answer
from fulmarward.observability import log_event
from fulmarward.requests._attempt import RETRY_AFTER_MS
from fulmarward.requests._drive import (
    ChainRun,
    StageCalls,
    StageLost,
    run_position,
)
from fulmarward.requests._move import find_address, move_stage
from fulmarward.requests._progress import (
    DIFFERS,
    DIFFERS_DETAIL,
    AttemptProgress,
    take_texts,
)
from fulmarward.requests._work import Work
from fulmarward.targets import (
    StepDone,
    StepOrder,
    StepRefused,
    StreamBroken,
    StreamUnknown,
    close_steps,
    read_steps,
    run_step,
)
from fulmarward_core.chains import (
    Chain,
    StageOffer,
    choose_move,
    covers_layers,
    estimate_step_ms,
    find_chain,
    list_offers,
    note_step,
)
from fulmarward_core.declaration import TargetKind
from fulmarward_core.placement import can_serve
from fulmarward_core.results import Failure, ResultCode, make_failure
from fulmarward_core.routing import TargetView
from fulmarward_core.streams import Stage

#: How long a stage that was lost gets no new chain, in seconds.
AVOID_STAGE_S = 1.0

#: A position past any other: asks a stage for nothing, to claim the attempt only.
LAST_STEP = 2**31

#: Tokens between two looks whether a stage should move: at some milliseconds a token
#: a leaving or slow target is noticed within a second, and a look costs all offers.
MOVE_LOOK_TOKENS = 32


@dataclass(kw_only=True)
class ChainProgress(AttemptProgress):
    """The state of one attempt on a chain."""

    #: 0 for the driver that began it; for one that took it over, when it did so in
    #: milliseconds since 1970. Guards against two drivers that both go on, of which
    #: the older would close what the newer drives: stages refuse the older.
    term: int = 0
    #: The views that count this chain as work in flight.
    held: list[TargetView] = field(default_factory=list)


def list_stage_views(instance: Instance, work: Work) -> list[TargetView]:
    """Return the views of the engines that hold a part of the work's model.

    One that holds all of it runs whole requests, which cost a call each, not a token.
    """
    model = work.snapshot.declaration.models[work.pipeline.model]
    return [
        view
        for view in instance.views.values()
        if view.target.kind is TargetKind.ENGINE
        and view.target.serves == work.pipeline.model
        and view.target.layers != (0, model.layers)
        and can_serve(
            view.held,
            model=work.pipeline.model,
            versions=model.versions,
            adapter=work.pipeline.adapter,
            layers=view.target.layers,
        )
    ]


def choose_chain(
    instance: Instance, work: Work, attempt: int
) -> tuple[Chain, str] | None:
    """Return the chain for an attempt and its version, with a log line.

    Guards against stages of two versions in one chain during a rollout, whose tokens
    would be neither's: each version has its chain, and the serving one goes first.
    """
    model = work.snapshot.declaration.models[work.pipeline.model]
    views = list_stage_views(instance, work)
    others = [version for version in model.versions[::-1] if version != model.serving]
    for version in (model.serving, *others):
        mine = [
            view
            for view in views
            if view.held is None or view.held.state.version == version
        ]
        chain = find_chain(_list_offers(instance, work, mine), layers=model.layers)
        if chain is not None:
            break
    _log_choice(instance, work, attempt, chain, version, len(views))
    return (chain, version) if chain else None


def _list_offers(
    instance: Instance, work: Work, views: list[TargetView]
) -> list[StageOffer]:
    return list_offers(
        views,
        data_centre=instance.settings.data_centre,
        links=work.snapshot.declaration.links,
        times=instance.step_times,
        now=instance.read_clock(),
        generator=instance.generator,
    )


def _log_choice(
    instance: Instance,
    work: Work,
    attempt: int,
    chain: Chain | None,
    version: str,
    candidates: int,
) -> None:
    reason = "least_cost" if chain else "no_open_chain"
    instance.metrics.decisions.inc({"kind": "route_chain", "reason": reason})
    log_event(
        "route_chain",
        request=work.request,
        attempt=attempt,
        team=work.team,
        pipeline=work.pipeline_name,
        epoch=work.snapshot.head.epoch,
        candidates=candidates,
        version=version,
        stages=[[stage.target, *stage.layers] for stage in chain.stages]
        if chain
        else [],
        cost_ms=round(chain.cost_ms, 3) if chain else None,
        reason=reason,
    )


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
    run = _make_run(instance, work, attempt, version)
    run.may_have_run = not is_new
    try:
        with _hold_stages(instance, attempt):
            lost = await _run_tokens(instance, work, answer, attempt, run, is_new)
    except asyncio.CancelledError:
        _close_later(instance, work, answer, attempt)
        raise
    if lost is None:
        _close_later(instance, work, answer, attempt, kept=attempt.stages[-1:])
        return None
    if not lost.may_have_run:
        answer.is_dispatched = was_dispatched
    return await _give_up(instance, work, attempt, lost)


@contextmanager
def _hold_stages(instance: Instance, attempt: ChainProgress) -> Iterator[None]:
    """Count the chain as work in flight on each of its targets."""
    _count_stages(instance, attempt)
    try:
        yield
    finally:
        _discount_stages(attempt)


def _count_stages(instance: Instance, attempt: ChainProgress) -> None:
    views = [instance.views.get(stage.target) for stage in attempt.stages]
    attempt.held = [view for view in views if view is not None]
    for view in attempt.held:
        view.in_flight += 1


def _discount_stages(attempt: ChainProgress) -> None:
    for view in attempt.held:
        view.in_flight -= 1
    attempt.held = []


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
    offers = _list_offers(instance, work, list(views.values()))
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
        return _make_lost(run, stage, moved.detail)
    stages = tuple(moved if item == stage else item for item in run.stages)
    run.stages = attempt.stages = stages
    attempt.is_located = False
    _discount_stages(attempt)
    _count_stages(instance, attempt)
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
        return _make_lost(run, last, "the last stage's cache is gone")
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
        return _make_lost(run, run.stages[-1], DIFFERS)
    return steps[-1]


def _make_lost(run: ChainRun, stage: Stage, detail: str) -> StageLost:
    return StageLost(
        stage=stage,
        detail=detail,
        may_have_run=True,
        is_closed=False,
        is_unreachable=False,
    )


def _make_run(
    instance: Instance, work: Work, attempt: ChainProgress, version: str | None
) -> ChainRun:
    def make_order(stage: Stage, position: int, value: object) -> StepOrder:
        first, end = stage.layers
        needs_prompt = position == 0 and stage in (run.stages[0], run.stages[-1])
        return StepOrder(
            request=work.request,
            attempt=attempt.number,
            team=work.team,
            term=attempt.term,
            model=work.pipeline.model,
            adapter=work.pipeline.adapter,
            version=version,
            position=position,
            first_layer=first,
            last_layer=end - 1,
            input=value,
            prompt=work.prompt if needs_prompt else None,
            max_tokens=work.max_tokens if needs_prompt else None,
        )

    run = ChainRun(
        stages=attempt.stages,
        calls=_make_calls(instance, work, attempt),
        make_order=make_order,
    )
    return run


def _make_calls(instance: Instance, work: Work, attempt: ChainProgress) -> StageCalls:
    async def run(
        stage: Stage, order: StepOrder
    ) -> StepDone | StepRefused | StreamBroken:
        address = find_address(instance, stage)
        if address is None:
            return StepRefused(error="declared no more")
        began = instance.read_clock()
        outcome = await run_step(instance.session, address, order)
        if isinstance(outcome, StepDone) and order.position > 0:
            _measure_step(instance, stage, began)
        return outcome

    async def read(
        stage: Stage, after: int
    ) -> tuple[StepDone, ...] | StreamUnknown | StreamBroken:
        address = find_address(instance, stage)
        if address is None:
            return StreamUnknown()
        return await read_steps(
            instance.session,
            address,
            request=work.request,
            attempt=attempt.number,
            stage=stage,
            after=after,
            term=attempt.term,
        )

    return StageCalls(run_step=run, read_steps=read)


def _measure_step(instance: Instance, stage: Stage, began: float) -> None:
    """Note a step's time; position 0 is left out, since it reads the prompt."""
    declaration = instance.snapshot.declaration
    now = instance.read_clock()
    note_step(
        instance.step_times,
        target=stage.target,
        took_ms=(now - began) * 1000,
        expected_ms=estimate_step_ms(
            declaration.targets[stage.target],
            layers=stage.layers[1] - stage.layers[0],
            data_centre=instance.settings.data_centre,
            links=declaration.links,
        ),
        now=now,
    )


async def _close_all(
    instance: Instance,
    work: Work,
    attempt: ChainProgress,
    kept: tuple[Stage, ...] = (),
) -> list[str | StreamBroken]:
    """Close an attempt on all its stages but the kept ones; return what each said.

    A stage that a newer driver has claimed says `driven` and goes on.
    """
    addresses = {
        find_address(instance, stage) for stage in attempt.stages if stage not in kept
    }
    closing = [
        close_steps(
            instance.session,
            address,
            request=work.request,
            attempt=attempt.number,
            term=attempt.term,
        )
        for address in addresses
        if address is not None
    ]
    return await asyncio.gather(*closing)


def _close_later(
    instance: Instance,
    work: Work,
    answer: Answer,
    attempt: ChainProgress,
    kept: tuple[Stage, ...] = (),
) -> None:
    """Free the caches of an attempt that is over or that nobody waits for.

    A whole answer stays readable at its last stage for a caller that was cut.
    """
    if instance.lifecycle.state == "stopped" and answer.may_return:
        return
    closing = _close_all(instance, work, attempt, kept)
    instance.keep_closing(asyncio.create_task(closing))


async def _give_up(
    instance: Instance, work: Work, attempt: ChainProgress, lost: StageLost
) -> Failure:
    """Close the attempt everywhere before any other begins; say what is known."""
    log_event(
        "chain_lost",
        request=work.request,
        attempt=attempt.number,
        target=lost.stage.target,
        position=attempt.seen,
        reason=lost.detail,
    )
    view = instance.views.get(lost.stage.target)
    if view is not None and lost.detail != DIFFERS:
        view.avoided_until = instance.read_clock() + AVOID_STAGE_S
    states = await _close_all(instance, work, attempt)
    if lost.is_closed or "driven" in states:
        detail = "Another instance goes on with it."
        return make_failure(ResultCode.STREAM_LOST, detail)
    if lost.detail == DIFFERS:
        return make_failure(ResultCode.STREAM_LOST, DIFFERS_DETAIL)
    if lost.may_have_run:
        detail = f"Stage {lost.stage.target} was lost: {lost.detail}."
        return make_failure(ResultCode.TARGET_FAILED, detail)
    code = (
        ResultCode.TARGET_UNREACHABLE
        if lost.is_unreachable
        else ResultCode.TARGET_REFUSED
    )
    return make_failure(code, lost.detail, retry_after_ms=RETRY_AFTER_MS)
