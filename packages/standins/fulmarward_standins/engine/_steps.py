"""Layer steps: runs one token through a range of layers of this engine."""

from dataclasses import dataclass, field

from fulmarward_standins._ledger import LedgerEntry
from fulmarward_standins.engine._model import (
    choose_word,
    count_answer_tokens,
    hash_position,
    run_layers,
)

#: Maximum number of caches kept; the oldest are dropped first.
MAX_KEPT_CACHES = 20_000

CacheKey = tuple[str, int, int]


@dataclass(kw_only=True)
class KvCache:
    """KV cache of one attempt in a range of this engine's layers."""

    team: str
    first_layer: int
    end_layer: int
    #: Prompt and token limit; known only to the first and the last range.
    prompt: str = ""
    most: int = 0
    #: Model version that the first step named, or empty.
    version: str = ""
    #: Output of each step by position, kept so that lost replies can be read again.
    outputs: list[int] = field(default_factory=list)


@dataclass(kw_only=True)
class StepState:
    """The KV caches of one engine, by (request, attempt, first layer)."""

    ledger: list[LedgerEntry]
    #: Layers of the whole model.
    model_layers: int = 24
    caches: dict[CacheKey, KvCache] = field(default_factory=dict)
    #: Newest driver's term by attempt; older drivers are refused.
    terms: dict[tuple[str, int], int] = field(default_factory=dict)
    #: Attempts that accept no more steps.
    closed: set[tuple[str, int]] = field(default_factory=set)
    #: Caches that were exported and accept no more steps here.
    moved: set[CacheKey] = field(default_factory=set)


@dataclass(frozen=True, kw_only=True)
class StepRefusal:
    """Why a step was not run."""

    #: `closed`, `superseded`, `moved`, `seen`, `out_of_order` or `no_cache`.
    error: str
    #: The position that the engine expects next.
    expected: int


def run_step(state: StepState, step: dict) -> KvCache | StepRefusal:
    """Run one step, or refuse it if it ran before or is out of order."""
    request, attempt = step["request"], step["attempt"]
    first, end = step["first_layer"], step["last_layer"] + 1
    key = (request, attempt, first)
    if (request, attempt) in state.closed:
        return StepRefusal(error="closed", expected=-1)
    if not claim_attempt(state, (request, attempt), step.get("term", 0)):
        return StepRefusal(error="superseded", expected=-1)
    if key in state.moved:
        return StepRefusal(error="moved", expected=-1)
    cache = state.caches.get(key)
    if cache is None:
        if step["position"] != 0:
            return StepRefusal(error="no_cache", expected=0)
        cache = _open_cache(state, key, step)
    expected = len(cache.outputs)
    if step["position"] < expected:
        return StepRefusal(error="seen", expected=expected)
    if step["position"] > expected or end != cache.end_layer:
        return StepRefusal(error="out_of_order", expected=expected)
    is_first = first == 0
    value = hash_position(cache.prompt, expected) if is_first else step["input"]
    cache.outputs.append(run_layers(value, first, end))
    state.ledger.append(
        LedgerEntry(
            request=request,
            attempt=attempt,
            team=cache.team,
            position=expected,
            first_layer=first,
            last_layer=end - 1,
            event="ran",
        )
    )
    return cache


def _open_cache(state: StepState, key: CacheKey, step: dict) -> KvCache:
    cache = KvCache(
        team=step["team"],
        first_layer=step["first_layer"],
        end_layer=step["last_layer"] + 1,
        prompt=step.get("prompt") or "",
        most=step.get("max_tokens") or 0,
        version=step.get("version") or "",
    )
    state.caches[key] = cache
    if len(state.caches) > MAX_KEPT_CACHES:
        del state.caches[next(iter(state.caches))]
    return cache


def describe_steps(state: StepState, cache: KvCache, after: int) -> list[dict]:
    """Return the outputs of the steps after position `after`."""
    return [
        {"position": position, "output": cache.outputs[position]}
        | _describe_token(state, cache, position)
        for position in range(after + 1, len(cache.outputs))
    ]


def _describe_token(state: StepState, cache: KvCache, position: int) -> dict:
    """Return the token's text and end reason, which only the last range knows."""
    if cache.end_layer != state.model_layers:
        return {}
    tokens = count_answer_tokens(cache.prompt, cache.most)
    text = choose_word(cache.outputs[position]) if position < tokens else ""
    if position + 1 < tokens:
        return {"text": text, "end": ""}
    return {"text": text, "end": "length" if tokens >= cache.most else "stop"}


def close_attempt(
    state: StepState, attempt_key: tuple[str, int], term: int | None = None
) -> str:
    """Refuse all later steps of an attempt; return its previous state.

    With a `term` an attempt that a newer driver has claimed is not closed.
    """
    attempt_caches = [key for key in state.caches if key[:2] == attempt_key]
    if term is not None and term < state.terms.get(attempt_key, 0):
        return "driven"
    state.closed.add(attempt_key)
    for key in attempt_caches:
        del state.caches[key]
    return "cancelled" if attempt_caches else "closed_before_start"


def claim_attempt(state: StepState, attempt_key: tuple[str, int], term: int) -> bool:
    """Record a driver's term; return whether no newer one is known."""
    newest = state.terms.get(attempt_key, 0)
    if term > newest:
        state.terms[attempt_key] = term
    return term >= newest


def export_cache(state: StepState, key: CacheKey) -> KvCache:
    """Remove and return a cache; its further steps are refused here."""
    state.moved.add(key)
    return state.caches.pop(key)


def import_cache(state: StepState, key: CacheKey, cache: KvCache) -> None:
    """Store a cache, which may have been exported from here before."""
    state.moved.discard(key)
    state.caches[key] = cache
