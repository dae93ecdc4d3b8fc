"""Assignment of keys to instances by rendezvous hashing.

All instances that know the same ones choose the same, and when one joins or leaves only
the keys assigned to it are assigned to others.
"""

import hashlib
from collections.abc import Collection


def choose_first(key: str, instances: Collection[str]) -> str | None:
    """Return the instance that a key is assigned to, `None` without any."""
    return max(instances, key=lambda name: _weigh(key, name), default=None)


def is_among_first(
    key: str, *, own: str, instances: Collection[str], count: int
) -> bool:
    """Return whether `own` is one of the `count` instances that a key is assigned to.

    It is not if it is not among the `instances`.
    """
    if own not in instances:
        return False
    weight = _weigh(key, own)
    return sum(_weigh(key, name) > weight for name in instances) < count


def _weigh(key: str, instance: str) -> tuple[bytes, str]:
    data = f"{instance}\n{key}".encode()
    return hashlib.blake2b(data, digest_size=8).digest(), instance
