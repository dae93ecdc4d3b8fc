"""The calls to the stages of a chain, bound to one attempt."""

from fulmarward._instance import Instance
from fulmarward.requests._chain_progress import ChainProgress
from fulmarward.requests._completion_request import CompletionRequest
from fulmarward.requests._drive import (
    ChainRun,
    StageCalls,
    StageLost,
)
from fulmarward.requests._move import find_address
from fulmarward.targets import (
    StepDone,
    StepRefused,
    StepRequest,
    StreamBroken,
    StreamUnknown,
    read_steps,
    run_step,
)
from fulmarward_core.chains import (
    estimate_step_ms,
    record_step_time,
)
from fulmarward_core.streams import Stage


def make_stage_lost(run: ChainRun, stage: Stage, detail: str) -> StageLost:
    """Return the `StageLost` of a stage that may have run the step."""
    return StageLost(
        stage=stage,
        detail=detail,
        may_have_run=True,
        is_closed=False,
        is_unreachable=False,
    )


def make_chain_run(
    instance: Instance,
    work: CompletionRequest,
    attempt: ChainProgress,
    version: str | None,
) -> ChainRun:
    """Return the run that drives an attempt's tokens through its stages."""

    def make_step_request(stage: Stage, position: int, value: object) -> StepRequest:
        first, end = stage.layers
        needs_prompt = position == 0 and stage in (run.stages[0], run.stages[-1])
        return StepRequest(
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
        make_step_request=make_step_request,
    )
    return run


def _make_calls(
    instance: Instance, work: CompletionRequest, attempt: ChainProgress
) -> StageCalls:
    async def run(
        stage: Stage, step_request: StepRequest
    ) -> StepDone | StepRefused | StreamBroken:
        address = find_address(instance, stage)
        if address is None:
            return StepRefused(error="declared no more")
        began = instance.read_clock()
        outcome = await run_step(instance.session, address, step_request)
        if isinstance(outcome, StepDone) and step_request.position > 0:
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
    """Record a step's time. Not called for position 0, which processes the prompt."""
    declaration = instance.snapshot.declaration
    now = instance.read_clock()
    record_step_time(
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
