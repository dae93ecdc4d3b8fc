"""Two partitionings of a skewed prefix index over instances, at equal bytes per second.

The first is the load-proportional key-space bisection of Aberer, Datta, Hauswirth and
Schmidt, "Indexing data-oriented overlay networks" (VLDB 2005): the ordered key space is
halved recursively, and each half gets instances in proportion to its load. Instances
that end up with the same range are replicas. The second is plain hashing of whole
prefixes, which may spend the same bytes on replicas of its hottest keys.

`busiest` is the load of the busiest instance as a multiple of the mean. Bytes include
cache events, which go to each copy of a key, and load reports. With bisection, each
range reports its load to log2(n) neighbours every second, which keeps the halves in
proportion. Hashing may spend the same bytes: half on reports of hot keys and half on
events for their copies.
"""

import heapq
import random

import xxhash

INSTANCES = 16

#: Number of prefixes and of their roots, and Zipf exponents of their use.
PREFIXES = 2_000
ROOTS = 40
SKEWS = (0.6, 1.0, 1.4)

#: Cache events per second and prefix, and bytes per event.
EVENTS_PER_S = 0.05
EVENT_BYTES = 60

#: Load reports of the ranges, in bytes per second: 20 bytes to 4 neighbours each.
LOAD_REPORT_BYTES_PER_S = 20 * 4 * INSTANCES

#: Maximum recursion depth of the bisection.
MAX_HALVINGS = 64

#: Position of a key in [0, 1), its load, and its number.
Key = tuple[float, float, int]


def _make_keys(skew: float, generator: random.Random) -> list[Key]:
    """Return prefixes with Zipf loads, most of them below a few roots."""
    keys = []
    for number in range(PREFIXES):
        root = min(int(generator.expovariate(0.3)), ROOTS - 1)
        position = (root + generator.random()) / ROOTS
        keys.append((position, 1 / (number + 1) ** skew, number))
    return sorted(keys)


def _bisect(
    keys: list[Key], low: float, high: float, instances: list[int], depth: int
) -> dict[int, list[int]]:
    """Return the instances that hold each key."""
    if len(instances) == 1 or len(keys) <= 1 or depth == MAX_HALVINGS:
        return {number: instances for _, _, number in keys}
    middle = (low + high) / 2
    left = [key for key in keys if key[0] < middle]
    right = keys[len(left) :]
    if not left or not right:
        bounds = (middle, high) if not left else (low, middle)
        return _bisect(keys, *bounds, instances, depth + 1)
    load_share = sum(key[1] for key in left) / sum(key[1] for key in keys)
    left_count = min(max(1, round(load_share * len(instances))), len(instances) - 1)
    return _bisect(left, low, middle, instances[:left_count], depth + 1) | _bisect(
        right, middle, high, instances[left_count:], depth + 1
    )


def _assign_by_hash(keys: list[Key], copies: int) -> dict[int, list[int]]:
    """Return the instances of each key by rendezvous hashing, more for hot keys."""
    counts = {number: 1 for _, _, number in keys}
    hottest = [(-load, load, number) for _, load, number in keys]
    heapq.heapify(hottest)
    for _ in range(max(0, copies - len(keys))):
        _, load, number = heapq.heappop(hottest)
        counts[number] = min(INSTANCES, counts[number] + 1)
        is_everywhere = counts[number] == INSTANCES
        rank = 0.0 if is_everywhere else -load / counts[number]
        heapq.heappush(hottest, (rank, load, number))
    return {number: _rank_instances(number)[:count] for number, count in counts.items()}


def _rank_instances(number: int) -> list[int]:
    return sorted(
        range(INSTANCES),
        key=lambda instance: xxhash.xxh64_intdigest(f"{number}/{instance}".encode()),
    )


def _measure_method(
    method: str,
    skew: float,
    keys: list[Key],
    holders: dict[int, list[int]],
    report_bytes_per_s: float,
) -> dict[str, object]:
    loads = [0.0] * INSTANCES
    for _, load, number in keys:
        for instance in holders[number]:
            loads[instance] += load / len(holders[number])
    copies = sum(len(found) for found in holders.values())
    mean = sum(loads) / INSTANCES
    return {
        "skew": skew,
        "way": method,
        "busiest": round(max(loads) / mean, 3),
        "idlest": round(min(loads) / mean, 3),
        "copies": copies,
        "bytes_per_s": round(copies * EVENTS_PER_S * EVENT_BYTES + report_bytes_per_s),
    }


def measure(*, seed: int) -> list[dict]:
    """Return a row for each skew and method."""
    rows = []
    for skew in SKEWS:
        keys = _make_keys(skew, random.Random(f"{seed} {skew}"))
        bisected = _bisect(keys, 0.0, 1.0, list(range(INSTANCES)), 0)
        copies = sum(len(found) for found in bisected.values())
        extra = LOAD_REPORT_BYTES_PER_S / 2 / (EVENTS_PER_S * EVENT_BYTES)
        hot = _assign_by_hash(keys, copies + round(extra))
        methods = {
            "bisection": (bisected, LOAD_REPORT_BYTES_PER_S),
            "hashing, equal bytes": (hot, LOAD_REPORT_BYTES_PER_S / 2),
            "hashing, one copy": (_assign_by_hash(keys, len(keys)), 0.0),
        }
        for method, (holders, report_bytes_per_s) in methods.items():
            rows.append(
                _measure_method(method, skew, keys, holders, report_bytes_per_s)
            )
    return rows
