"""Splitting a skewed prefix index among instances: two ways at equal bytes a second.

One is the key-space bisection in proportion to load of Aberer, Datta, Hauswirth and
Schmidt, "Indexing data-oriented overlay networks" (VLDB 2005): the key space, kept in
order, is halved again and again, and each half gets instances in proportion to its
load; several instances left with one range are its replicas. The other is plain
hashing of whole prefixes, which may spend the same bytes on copies of its hottest keys.

`busiest` is the load of the busiest instance as a multiple of the mean. Bytes are those
of cache events, which go to each copy of a key, and those that tell loads: bisection
tells each range's load to log2(n) neighbours each second, for the halves to stay in
proportion; hashing may spend as many, half of them to tell which keys are hot and half
on events for their copies.
"""

import heapq
import random

import xxhash

INSTANCES = 16

#: Prefixes, the words that they share, and the skew of their use.
PREFIXES = 2_000
ROOTS = 40
SKEWS = (0.6, 1.0, 1.4)

#: Cache events a second of one prefix, and bytes of one event.
EVENTS_PER_S = 0.05
EVENT_BYTES = 60

#: Bytes a second that tell the ranges' loads: 20 bytes to 4 neighbours of each.
TELLING_BYTES_PER_S = 20 * 4 * INSTANCES

#: Halvings after which a range is left whole.
MOST_HALVINGS = 64

#: A key's place in [0, 1), its load, and its name.
Key = tuple[float, float, int]


def _make_keys(skew: float, generator: random.Random) -> list[Key]:
    """Return prefixes, most of them below few roots, with Zipf loads."""
    keys = []
    for number in range(PREFIXES):
        root = min(int(generator.expovariate(0.3)), ROOTS - 1)
        place = (root + generator.random()) / ROOTS
        keys.append((place, 1 / (number + 1) ** skew, number))
    return sorted(keys)


def _bisect(
    keys: list[Key], low: float, high: float, instances: list[int], depth: int
) -> dict[int, list[int]]:
    """Return the instances that hold each key."""
    if len(instances) == 1 or len(keys) <= 1 or depth == MOST_HALVINGS:
        return {number: instances for _, _, number in keys}
    middle = (low + high) / 2
    left = [key for key in keys if key[0] < middle]
    right = keys[len(left) :]
    if not left or not right:
        bounds = (middle, high) if not left else (low, middle)
        return _bisect(keys, *bounds, instances, depth + 1)
    part = sum(key[1] for key in left) / sum(key[1] for key in keys)
    share = min(max(1, round(part * len(instances))), len(instances) - 1)
    return _bisect(left, low, middle, instances[:share], depth + 1) | _bisect(
        right, middle, high, instances[share:], depth + 1
    )


def _hash(keys: list[Key], copies: int) -> dict[int, list[int]]:
    """Return the instances of each key by rendezvous hashing, hot keys on more."""
    held = {number: 1 for _, _, number in keys}
    hottest = [(-load, load, number) for _, load, number in keys]
    heapq.heapify(hottest)
    for _ in range(max(0, copies - len(keys))):
        _, load, number = heapq.heappop(hottest)
        held[number] = min(INSTANCES, held[number] + 1)
        is_everywhere = held[number] == INSTANCES
        rank = 0.0 if is_everywhere else -load / held[number]
        heapq.heappush(hottest, (rank, load, number))
    return {number: _rank(number)[:count] for number, count in held.items()}


def _rank(number: int) -> list[int]:
    return sorted(
        range(INSTANCES),
        key=lambda instance: xxhash.xxh64_intdigest(f"{number}/{instance}".encode()),
    )


def _measure_way(
    way: str,
    skew: float,
    keys: list[Key],
    holders: dict[int, list[int]],
    telling: float,
) -> dict[str, object]:
    loads = [0.0] * INSTANCES
    for _, load, number in keys:
        for instance in holders[number]:
            loads[instance] += load / len(holders[number])
    copies = sum(len(found) for found in holders.values())
    mean = sum(loads) / INSTANCES
    return {
        "skew": skew,
        "way": way,
        "busiest": round(max(loads) / mean, 3),
        "idlest": round(min(loads) / mean, 3),
        "copies": copies,
        "bytes_per_s": round(copies * EVENTS_PER_S * EVENT_BYTES + telling),
    }


def measure(*, seed: int) -> list[dict]:
    """Return a row for each skew and way."""
    rows = []
    for skew in SKEWS:
        keys = _make_keys(skew, random.Random(f"{seed} {skew}"))
        bisected = _bisect(keys, 0.0, 1.0, list(range(INSTANCES)), 0)
        copies = sum(len(found) for found in bisected.values())
        extra = TELLING_BYTES_PER_S / 2 / (EVENTS_PER_S * EVENT_BYTES)
        hot = _hash(keys, copies + round(extra))
        ways = {
            "bisection": (bisected, TELLING_BYTES_PER_S),
            "hashing, equal bytes": (hot, TELLING_BYTES_PER_S / 2),
            "hashing, one copy": (_hash(keys, len(keys)), 0.0),
        }
        for way, (holders, telling) in ways.items():
            rows.append(_measure_way(way, skew, keys, holders, telling))
    return rows
