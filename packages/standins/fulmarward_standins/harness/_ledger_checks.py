"""Invariants of the engines' ledgers, which hold under every fault."""

from collections import Counter, defaultdict
from collections.abc import Mapping, Sequence

#: Entries of one ledger, oldest first, as returned by `GET /ledger`.
Ledger = Sequence[Mapping[str, object]]


def find_ledger_faults(ledgers: Mapping[str, Ledger], *, layers: int = 0) -> list[str]:
    """Return the violated invariants; an empty list means that all hold.

    Every (request, attempt, position, layer) ran at most once, and each range of
    layers ran its positions in sequence. With `layers`, every position that ran the
    model's last layer ran all of them; pass it only if no engine's ledger was lost.
    The order of layers needs no check here: the stand-in's model derives the
    response's text from every layer in order.
    """
    ran = {
        target: [entry for entry in ledger if entry["event"] == "ran"]
        for target, ledger in ledgers.items()
    }
    return [
        *_find_repeats(ran),
        *_find_skipped_positions(ran),
        *(_find_gaps(ran, layers) if layers else []),
    ]


def _find_repeats(ran: Mapping[str, Ledger]) -> list[str]:
    counts = Counter(
        (entry["request"], entry["attempt"], entry["position"], layer)
        for entries in ran.values()
        for entry in entries
        for layer in range(entry["first_layer"], entry["last_layer"] + 1)
    )
    return [f"run {count} times: {key}" for key, count in counts.items() if count > 1]


def _find_skipped_positions(ran: Mapping[str, Ledger]) -> list[str]:
    faults = []
    for target, entries in ran.items():
        newest: dict[tuple, int] = {}
        for entry in entries:
            key = (entry["request"], entry["attempt"], entry["first_layer"])
            before = newest.get(key, entry["position"] - 1)
            if entry["position"] != before + 1:
                faults.append(f"{target}: {key} ran {entry['position']} after {before}")
            newest[key] = entry["position"]
    return faults


def _find_gaps(ran: Mapping[str, Ledger], layers: int) -> list[str]:
    layers_run: dict[tuple, set[int]] = defaultdict(set)
    for entries in ran.values():
        for entry in entries:
            key = (entry["request"], entry["attempt"], entry["position"])
            layers_run[key] |= set(range(entry["first_layer"], entry["last_layer"] + 1))
    return [
        f"ran without some layers: {key}"
        for key, found in layers_run.items()
        if layers - 1 in found and len(found) < layers
    ]
