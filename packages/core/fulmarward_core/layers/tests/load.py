"""Simulation of a request load on a planned fleet with the real path selection.

Durations follow from the engine's published figures and leave out queueing at the
targets. Only KV capacity is accounted for, which decides what a full fleet refuses.
"""

import heapq
import random
from collections import Counter
from dataclasses import dataclass

from fulmarward_core.fleet import compute_kv_capacity
from fulmarward_core.loads import LoadLedger
from fulmarward_core.paths import PathRequest, count_tokens_held
from fulmarward_core.paths.tests.stages import LoadedStage, choose_path


@dataclass(frozen=True, kw_only=True)
class SimulatedLoad:
    """Outcome of a simulated load."""

    #: Requests with a path, and requests for which no path had enough KV capacity.
    started: int
    refused: int
    #: Mean duration of an answer in seconds.
    mean_s: float
    #: Number of answers by the slowest kind of engine on their path.
    by_slowest_kind: Counter[str]


def make_stages(engine, fleet, ledger, now):
    """Return the targets as stages with the load that the ledger has reserved."""
    loads = ledger.sum_loads(now=now)
    stages = []
    for target in fleet:
        if target.layers is None:
            continue
        kind = engine.kinds[target.kind]
        load = loads.get(target.name)
        stage = LoadedStage(
            target=target.name,
            address=target.address,
            data_centre=target.data_centre,
            kind=kind,
            layers=target.layers,
            kv_capacity=float(compute_kv_capacity(engine, kind, len(target.layers))),
            kv_reserved=0.0 if load is None else load.kv,
            running=0 if load is None else load.running,
            first_running=0 if load is None else load.first_running,
            pace=1.0,
            preference=1.0,
            is_usable=True,
        )
        stages.append(stage)
    return stages


def compute_answer_s(engine, stages, request, path):
    """Return the duration of an answer along a path in seconds."""
    by_name = {stage.target: stage for stage in stages}
    total_ms = 0.0
    for hop in path:
        stage = by_name[hop.target]
        share = len(hop.layers) / engine.layers
        step = engine.step_ms + engine.sequence_ms * (stage.running + 1)
        step += engine.context_ms_per_k * stage.running
        total_ms += step * stage.kind.step_factor * share * request.answer
        prefill = request.prompt / engine.prefill_tokens_per_s * 1000
        total_ms += prefill * stage.kind.prefill_factor * share
    return total_ms / 1000


def simulate_load(engine, fleet, *, rate_per_s, for_s, data_centres, seed):
    """Send requests of mixed sizes from the data centres and return the outcome."""
    rng = random.Random(seed)
    ledger = LoadLedger()
    ends = []
    by_slowest_kind = Counter()
    now, started, refused, total_s = 0.0, 0, 0, 0.0
    while now < for_s:
        now += rng.expovariate(rate_per_s)
        while ends and ends[0][0] <= now:
            ledger.release(heapq.heappop(ends)[2])
        request = PathRequest(
            prompt=min(2280, int(rng.expovariate(1 / engine.mean_prompt_tokens)) + 1),
            answer=min(420, int(rng.expovariate(1 / engine.mean_answer_tokens)) + 1),
            data_centre=rng.choice(data_centres),
            may_cross=False,
        )
        stages = make_stages(engine, fleet, ledger, now)
        path = choose_path(engine, stages, request)
        if path is None:
            refused += 1
            continue
        started += 1
        duration_s = compute_answer_s(engine, stages, request, path)
        total_s += duration_s
        used = {stage.kind for stage in stages if stage.target in _list_targets(path)}
        by_slowest_kind[max(used, key=lambda kind: kind.step_factor).name] += 1
        reservation = ledger.reserve(path, count_tokens_held(request))
        heapq.heappush(ends, (now + duration_s, started, reservation))
    return SimulatedLoad(
        started=started,
        refused=refused,
        mean_s=total_s / max(1, started),
        by_slowest_kind=by_slowest_kind,
    )


def _list_targets(path):
    return {hop.target for hop in path}
