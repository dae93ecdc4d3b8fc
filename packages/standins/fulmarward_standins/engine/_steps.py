"""Layer steps: one token's pass through the layers that this engine holds."""

from dataclasses import dataclass, field

from fulmarward_standins._ledger import LedgerEntry
from fulmarward_standins.engine._model import run_layers


@dataclass(kw_only=True)
class KvCache:
    """What a request's earlier tokens left in this engine's layers."""

    team: str
    first_layer: int
    end_layer: int
    #: Position of the last token that ran; -1 before the first.
    position: int = -1
    #: The value that the last step gave, kept for a lost reply.
    output: int = 0


@dataclass(kw_only=True)
class StepState:
    """The caches of one engine, by (request, attempt, first layer)."""

    ledger: list[LedgerEntry]
    caches: dict[tuple[str, int, int], KvCache] = field(default_factory=dict)
    closed: set[tuple[str, int]] = field(default_factory=set)


@dataclass(frozen=True, kw_only=True)
class StepRefusal:
    """Why a step was not run."""

    #: `closed`, `seen`, `out_of_order` or `no_cache`.
    error: str
    #: The position that the engine would run.
    expected: int


def run_step(state: StepState, step: dict) -> int | StepRefusal:
    """Run one step, or refuse one that was seen before or is out of order."""
    request, attempt = step["request"], step["attempt"]
    first, end = step["first_layer"], step["last_layer"] + 1
    if (request, attempt) in state.closed:
        return StepRefusal(error="closed", expected=-1)
    key = (request, attempt, first)
    cache = state.caches.get(key)
    if cache is None:
        if step["position"] != 0:
            return StepRefusal(error="no_cache", expected=0)
        cache = KvCache(team=step["team"], first_layer=first, end_layer=end)
        state.caches[key] = cache
    expected = cache.position + 1
    if step["position"] < expected:
        return StepRefusal(error="seen", expected=expected)
    if step["position"] > expected or end != cache.end_layer:
        return StepRefusal(error="out_of_order", expected=expected)
    cache.output = run_layers(step["input"], first, end)
    cache.position = step["position"]
    state.ledger.append(
        LedgerEntry(
            request=request,
            attempt=attempt,
            team=cache.team,
            position=cache.position,
            first_layer=first,
            last_layer=end - 1,
            event="ran",
        )
    )
    return cache.output


def close_attempt(state: StepState, request: str, attempt: int) -> bool:
    """Refuse all later steps of an attempt; return whether any had run here."""
    state.closed.add((request, attempt))
    mine = [key for key in state.caches if key[:2] == (request, attempt)]
    for key in mine:
        del state.caches[key]
    return bool(mine)
