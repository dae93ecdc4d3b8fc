"""Chooses the target of an attempt and logs the decision."""

from fulmarward._instance import Instance
from fulmarward.observability import log_event
from fulmarward.requests._completion_request import CompletionRequest
from fulmarward.targets import PREFIX_TOKENS, hash_prefixes
from fulmarward_core.admission import OutputLengths, estimate_output
from fulmarward_core.declaration import TargetKind, Urgency
from fulmarward_core.placement import can_serve
from fulmarward_core.routing import Choice, RequestProfile, TargetView, choose_target


def list_whole_model_views(
    instance: Instance, work: CompletionRequest
) -> list[TargetView]:
    model = work.snapshot.declaration.models[work.pipeline.model]
    return [
        view
        for view in instance.views.values()
        if view.target.kind is TargetKind.ENGINE
        and view.target.serves == work.pipeline.model
        and view.target.layers == (0, model.layers)
        and can_serve(
            view.held,
            model=work.pipeline.model,
            versions=model.versions,
            adapter=work.pipeline.adapter,
            layers=view.target.layers,
        )
    ]


def list_engine_views(instance: Instance, work: CompletionRequest) -> list[TargetView]:
    """Return the views of all engines of the request's model, with any layers."""
    return [
        view
        for view in instance.views.values()
        if view.target.kind is TargetKind.ENGINE
        and view.target.serves == work.pipeline.model
    ]


def _make_profile(
    instance: Instance, work: CompletionRequest, tried: frozenset[str]
) -> RequestProfile:
    outputs = instance.admission.outputs.get(work.pipeline_name, OutputLengths())
    return RequestProfile(
        prompt_tokens=len(work.prompt.split()),
        output_tokens=estimate_output(outputs, work.max_tokens),
        prefixes=hash_prefixes(work.prompt),
        prefix_tokens=PREFIX_TOKENS,
        slack_s=work.deadline - instance.read_clock(),
        may_probe=work.idempotent and work.urgency is not Urgency.URGENT,
        tried=tried,
    )


def choose_route(
    instance: Instance,
    work: CompletionRequest,
    attempt: int,
    tried: frozenset[str] = frozenset(),
) -> Choice | None:
    """Choose the target of an attempt among those that are not in `tried`."""
    candidates = list_whole_model_views(instance, work)
    choice = choose_target(
        candidates=candidates,
        data_centre=instance.settings.data_centre,
        now=instance.read_clock(),
        generator=instance.generator,
        profile=_make_profile(instance, work, tried),
    )
    reason = choice.reason if choice else "no_open_target"
    instance.metrics.decisions.inc({"kind": "route", "reason": reason})
    log_event(
        "routing_decided",
        request=work.request,
        attempt=attempt,
        team=work.team,
        pipeline=work.pipeline_name,
        epoch=work.snapshot.head.epoch,
        candidates=len(candidates),
        chosen=choice.chosen.name if choice else None,
        score=round(choice.score, 3) if choice else None,
        runner_up=choice.runner_up if choice else None,
        reason=reason,
    )
    return choice
