"""Chooses the chain of an attempt and logs the decision."""

from fulmarward._instance import Instance
from fulmarward.observability import log_event
from fulmarward.requests._completion_request import CompletionRequest
from fulmarward_core.chains import (
    Chain,
    StageOffer,
    find_chain,
    list_offers,
)
from fulmarward_core.declaration import TargetKind
from fulmarward_core.placement import can_serve
from fulmarward_core.routing import TargetView


def list_stage_views(instance: Instance, work: CompletionRequest) -> list[TargetView]:
    """Return the views of the engines that hold part of the request's model.

    Engines with the whole model are left out: they run whole requests, which take one
    call per request rather than one per token.
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
    instance: Instance, work: CompletionRequest, attempt: int
) -> tuple[Chain, str] | None:
    """Choose the chain and the model version of an attempt, and log the choice.

    During a rollout, stages of two versions in one chain would give tokens of neither
    version. So each version has its own chain, and the serving version is tried first.
    """
    model = work.snapshot.declaration.models[work.pipeline.model]
    views = list_stage_views(instance, work)
    others = [version for version in model.versions[::-1] if version != model.serving]
    for version in (model.serving, *others):
        same_version = [
            view
            for view in views
            if view.held is None or view.held.state.version == version
        ]
        chain = find_chain(
            list_chain_offers(instance, work, same_version), layers=model.layers
        )
        if chain is not None:
            break
    _log_choice(instance, work, attempt, chain, version, len(views))
    return (chain, version) if chain else None


def list_chain_offers(
    instance: Instance, work: CompletionRequest, views: list[TargetView]
) -> list[StageOffer]:
    """Return the stage offers of the views, with their expected costs."""
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
    work: CompletionRequest,
    attempt: int,
    chain: Chain | None,
    version: str,
    candidates: int,
) -> None:
    reason = "least_cost" if chain else "no_open_chain"
    instance.metrics.decisions.inc({"kind": "route_chain", "reason": reason})
    log_event(
        "chain_routing_decided",
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
