"""Which instance hands out the permits of a limited target."""

import hashlib
from collections.abc import Collection


def choose_owner(target: str, instances: Collection[str]) -> str | None:
    """Return the instance that keeps the permits of a target, `None` without any.

    All instances that know the same ones choose the same, and when one joins or leaves
    only its own targets change their owner (rendezvous hashing).
    """
    return max(instances, key=lambda name: _weigh(target, name), default=None)


def _weigh(target: str, instance: str) -> tuple[bytes, str]:
    data = f"{instance}\n{target}".encode()
    return hashlib.blake2b(data, digest_size=8).digest(), instance
