"""Choosing the target of an attempt, with a log line for the decision."""

from fulmarward._instance import Instance
from fulmarward.observability import log_event
from fulmarward.requests._work import Work
from fulmarward_core.declaration import TargetKind
from fulmarward_core.placement import can_serve
from fulmarward_core.routing import Choice, TargetView, choose_target


def list_candidates(instance: Instance, work: Work) -> list[TargetView]:
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


def choose_route(instance: Instance, work: Work, attempt: int) -> Choice | None:
    candidates = list_candidates(instance, work)
    choice = choose_target(
        candidates=candidates,
        data_centre=instance.settings.data_centre,
        now=instance.read_clock(),
        generator=instance.generator,
    )
    reason = choice.reason if choice else "no_open_target"
    instance.metrics.decisions.inc({"kind": "route", "reason": reason})
    log_event(
        "route",
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
