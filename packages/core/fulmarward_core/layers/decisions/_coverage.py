"""Holders per layer, and gaps between the ranges held."""

from collections.abc import Callable, Iterable
from itertools import pairwise

from fulmarward_core.fleet import LayerRange


def count_holders(layers: int, ranges: Iterable[LayerRange]) -> list[int]:
    """Return the number of ranges that hold each layer."""
    counts = [0] * layers
    for held in ranges:
        for layer in range(held.start, min(held.end, layers)):
            counts[layer] += 1
    return counts


def choose_range(
    layers: int, size: int, score: Callable[[slice], tuple[int, ...]]
) -> LayerRange:
    """Return the first range of `size` layers with the lowest score.

    `score` receives each range as a slice of a list with one entry per layer.
    """
    start = min(
        range(layers - size + 1), key=lambda start: score(slice(start, start + size))
    )
    return LayerRange(start=start, end=start + size)


def find_gaps(layers: int, ranges: Iterable[LayerRange]) -> list[LayerRange]:
    """Return the runs of consecutive layers that no range holds, in order."""
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
