"""Results of layer planning."""

from dataclasses import dataclass

from fulmarward_core.fleet import LayerRange


@dataclass(frozen=True, kw_only=True)
class Assignment:
    """The layers assigned to one target."""

    target: str
    layers: LayerRange


@dataclass(frozen=True, kw_only=True)
class LayerOrder:
    """An assignment to be sent to its target, and the reason for it."""

    assignment: Assignment
    #: `first` (initial plan), `empty` (target without layers), `gap` (a target adds
    #: adjacent layers that its data centre lacks), `spare` (a redundant target moves
    #: to missing layers) or `shift` (a target gives up layers to complete the model in
    #: its data centre).
    reason: str
