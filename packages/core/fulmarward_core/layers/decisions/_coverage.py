"""Which layers are held, and how often."""

from collections.abc import Callable, Iterable
from itertools import pairwise

from fulmarward_core.fleet import LayerRange


def count_holders(layers: int, ranges: Iterable[LayerRange]) -> list[int]:
    """Return for each layer how many ranges hold it."""
    counts = [0] * layers
    for held in ranges:
        for layer in range(held.start, min(held.end, layers)):
            counts[layer] += 1
    return counts


def choose_range(
    layers: int, size: int, weigh: Callable[[slice], tuple[int, ...]]
) -> LayerRange:
    """Return the first of the ranges of `size` layers that weigh least.

    `weigh` is given each range as a slice of a list with an entry for each layer.
    """
    start = min(
        range(layers - size + 1), key=lambda start: weigh(slice(start, start + size))
    )
    return LayerRange(start=start, end=start + size)


def find_gaps(layers: int, ranges: Iterable[LayerRange]) -> list[LayerRange]:
    """Return the runs of layers that no range holds, in order."""
    counts = count_holders(layers, ranges)
    edges = [
        0,
        *[i for i in range(1, layers) if (counts[i] > 0) != (counts[i - 1] > 0)],
    ]
    return [
        LayerRange(start=start, end=end)
        for start, end in pairwise([*edges, layers])
        if counts[start] == 0
    ]
