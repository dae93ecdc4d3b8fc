"""Types of the placement slice."""

from dataclasses import dataclass


@dataclass(frozen=True, kw_only=True)
class Wanted:
    """What a target shall hold; an order states it whole, so repeating is harmless."""

    #: Name of the model.
    model: str
    #: The model's version.
    version: str
    #: First layer, and one past the last.
    layers: tuple[int, int]
    #: Names of the adapters, sorted.
    adapters: tuple[str, ...]
    #: What it does with them; `serving`.
    role: str


@dataclass(frozen=True, kw_only=True)
class Held:
    """What an engine says that it holds."""

    #: What it holds now, or held before a load that is running.
    state: Wanted
    #: The highest fencing number it has seen.
    fencing: int
    #: Whether it is loading weights: it serves nothing meanwhile.
    is_loading: bool
