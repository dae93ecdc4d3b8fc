"""What the decisions on layers return."""

from dataclasses import dataclass

from fulmarward_core.fleet import LayerRange


@dataclass(frozen=True, kw_only=True)
class Assignment:
    """The layers that one target shall hold."""

    #: Name of the target.
    target: str
    #: The layers.
    layers: LayerRange


@dataclass(frozen=True, kw_only=True)
class LayerOrder:
    """An order to be sent, and why."""

    #: What shall be held.
    assignment: Assignment
    #: `first`, `empty`, `gap` (a target takes more layers, which its data centre
    #: lacks), `spare` (one whose layers others hold as well moves to where they lack)
    #: or `shift` (one gives up layers, so that its data centre is whole).
    reason: str
