"""Choosing the chain of an attempt, with a log line for the decision."""

from fulmarward._instance import Instance
from fulmarward.observability import log_event
from fulmarward.requests._work import Work
from fulmarward_core.chains import (
    Chain,
    StageOffer,
    find_chain,
    list_offers,
)
from fulmarward_core.declaration import TargetKind
from fulmarward_core.placement import can_serve
from fulmarward_core.routing import TargetView


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
        chain = find_chain(list_chain_offers(instance, work, mine), layers=model.layers)
        if chain is not None:
            break
    _log_choice(instance, work, attempt, chain, version, len(views))
    return (chain, version) if chain else None


def list_chain_offers(
    instance: Instance, work: Work, views: list[TargetView]
) -> list[StageOffer]:
    """Return what each view offers to a chain, with its expected costs."""
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
