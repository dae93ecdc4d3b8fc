"""Decisions about placement."""

from collections.abc import Collection

from fulmarward_core.placement._types import Held


def can_serve(
    held: Held | None,
    *,
    model: str,
    versions: Collection[str],
    adapter: str | None,
    layers: tuple[int, int],
) -> bool:
    """Return whether a target that says it holds `held` can run a request.

    A target that has not reported is tried: its refusal costs one attempt and runs
    nothing. During a rollout every declared version serves, else the first target of
    the new version would have to carry the load of all.
    """
    if held is None:
        return True
    state = held.state
    return (
        not held.is_loading
        and state.role == "serving"
        and state.model == model
        and state.version in versions
        and state.layers == layers
        and (adapter is None or adapter in state.adapters)
    )
