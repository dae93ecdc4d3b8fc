"""Handing out key prefixes, and reading the keys that come back."""

import hashlib

from fulmarward._instance import Instance
from fulmarward_core.keys import (
    HandedKey,
    InventedKey,
    KeyPrefix,
    open_key,
    seal_prefix,
)
from fulmarward_core.membership import Incarnation, Member, list_usable

_PURPOSE = "idempotency-keys"

#: Letters of a digest, 128 bits. Load: three messages for each keyed request; harm:
#: the 190 letters of a whole key in each; reason: past any chance of two alike.
DIGEST_LETTERS = 32


def _list_others(instance: Instance) -> list[Member]:
    """Return usable members whose present run is known; a listed one has boot 0."""
    own = instance.settings.name
    usable = list_usable(instance.members)
    return [member for member in usable if member.name != own and member.boot > 0]


def _pick(instance: Instance, members: list[Member], home: Member) -> Member | None:
    """Return a member, in another data centre than `home` if there is one.

    Guards against the loss of a data centre: with both keepers in it nobody could
    tell any more whether a request ran.
    """
    members = [member for member in members if member.name != home.name]
    far = [member for member in members if member.data_centre != home.data_centre]
    candidates = far or members
    return instance.generator.choice(candidates) if candidates else None


def _identify(member: Member) -> Incarnation:
    return Incarnation(name=member.name, boot=member.boot)


def mint_prefix(instance: Instance, team: str) -> str:
    """Return a fresh prefix for `team`; this instance is its home while it serves."""
    others = _list_others(instance)
    home = instance.member
    if instance.lifecycle.state != "serving" and others:
        home = instance.generator.choice(others)
    witness = _pick(instance, others, home)
    lifetime_s = instance.settings.limits.key_ms / 1000
    prefix = KeyPrefix(
        home=_identify(home),
        witness=_identify(witness) if witness else None,
        expires_at=round(instance.read_wall_clock() + lifetime_s, 3),
    )
    return seal_prefix(prefix, team=team, secret=instance.secrets.derive_key(_PURPOSE))


def mint_key(instance: Instance, team: str) -> HandedKey:
    """Return a key for a request that may run once and came without one."""
    suffix = f"{instance.generator.getrandbits(80):020x}"
    key = read_key(instance, team, mint_prefix(instance, team) + suffix)
    if not isinstance(key, HandedKey):
        raise AssertionError("expected a key minted here to open here")
    return key


def read_key(
    instance: Instance, team: str, text: str
) -> HandedKey | InventedKey | None:
    """Return what a key is; `None` for one that this team cannot use."""
    secrets = instance.secrets.derive_keys(_PURPOSE)
    return open_key(text, team=team, secrets=secrets)


def hold_here(instance: Instance, team: str, key: InventedKey) -> HandedKey:
    """Return an invented key of an idempotent request as one that is kept here only.

    A repeat at this instance gets the same answer; one elsewhere runs again.
    """
    lifetime_s = instance.settings.limits.key_ms / 1000
    prefix = KeyPrefix(
        home=_identify(instance.member),
        witness=None,
        expires_at=instance.read_wall_clock() + lifetime_s,
    )
    return HandedKey(text=f"{team} {key.text}", prefix=prefix)


def hash_body(*parts: str | bytes) -> str:
    """Return the hash by which a key's repeats are known to be the same call."""
    digest = hashlib.sha256()
    for part in parts:
        data = part.encode() if isinstance(part, str) else part
        digest.update(len(data).to_bytes(8, "big"))
        digest.update(data)
    return digest.hexdigest()[:DIGEST_LETTERS]


def identify_key(key: HandedKey) -> str:
    """Return the short name of a key between its home and its witness."""
    return hashlib.sha256(key.text.encode()).hexdigest()[:DIGEST_LETTERS]


def is_home(instance: Instance, key: HandedKey) -> bool:
    """Return whether this run of this instance is the key's home."""
    return key.prefix.home == _identify(instance.member)


def find_address(instance: Instance, incarnation: Incarnation) -> str | None:
    """Return where peers reach an incarnation; `None` when it is known to be gone.

    Guards against a restarted instance that is taken for its predecessor: it has
    the name and the address but none of its tables, and another boot.
    """
    member = instance.members.members.get(incarnation.name)
    is_same = member is not None and member.boot == incarnation.boot
    return member.peer_address if is_same else None
