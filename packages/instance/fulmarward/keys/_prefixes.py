"""Issues key prefixes and parses the keys that callers send back."""

import hashlib

from fulmarward._instance import Instance
from fulmarward_core.keys import (
    CallerKey,
    IssuedKey,
    KeyPrefix,
    open_key,
    seal_prefix,
)
from fulmarward_core.membership import Incarnation, Member, list_usable

_SECRET_PURPOSE = "idempotency-keys"

#: Length of a digest, 128 bits, which rules out collisions. Each keyed request sends
#: three messages; a whole key would add 190 characters to each.
DIGEST_HEX_DIGITS = 32


def _list_other_members(instance: Instance) -> list[Member]:
    """Return other usable members whose boot is known; boot 0 means listed only."""
    own = instance.settings.name
    usable = list_usable(instance.members)
    return [member for member in usable if member.name != own and member.boot > 0]


def _choose_witness(
    instance: Instance, members: list[Member], home: Member
) -> Member | None:
    """Return a witness, from another data centre than `home` if there is one.

    If home and witness shared a data centre, its loss would leave no record of
    whether a request ran.
    """
    members = [member for member in members if member.name != home.name]
    remote = [member for member in members if member.data_centre != home.data_centre]
    candidates = remote or members
    return instance.generator.choice(candidates) if candidates else None


def _get_incarnation(member: Member) -> Incarnation:
    return Incarnation(name=member.name, boot=member.boot)


def issue_prefix(instance: Instance, team: str) -> str:
    """Return a new prefix for `team`, with this instance as home while it serves."""
    others = _list_other_members(instance)
    home = instance.member
    if instance.lifecycle.state != "serving" and others:
        home = instance.generator.choice(others)
    witness = _choose_witness(instance, others, home)
    lifetime_s = instance.settings.limits.key_ms / 1000
    prefix = KeyPrefix(
        home=_get_incarnation(home),
        witness=_get_incarnation(witness) if witness else None,
        expires_at=round(instance.read_wall_clock() + lifetime_s, 3),
    )
    return seal_prefix(
        prefix, team=team, secret=instance.secrets.derive_key(_SECRET_PURPOSE)
    )


def issue_key(instance: Instance, team: str) -> IssuedKey:
    """Return a key for a non-idempotent request that came without one."""
    suffix = f"{instance.generator.getrandbits(80):020x}"
    key = read_key(instance, team, issue_prefix(instance, team) + suffix)
    if not isinstance(key, IssuedKey):
        raise AssertionError("a key issued by this instance could not be opened")
    return key


def read_key(instance: Instance, team: str, text: str) -> IssuedKey | CallerKey | None:
    """Return the parsed key, `None` if this team cannot use it."""
    secrets = instance.secrets.derive_keys(_SECRET_PURPOSE)
    return open_key(text, team=team, secrets=secrets)


def make_local_key(instance: Instance, team: str, key: CallerKey) -> IssuedKey:
    """Return a local key for the caller-generated key of an idempotent request.

    A repeat at this instance gets the same answer; a repeat elsewhere runs again.
    """
    lifetime_s = instance.settings.limits.key_ms / 1000
    prefix = KeyPrefix(
        home=_get_incarnation(instance.member),
        witness=None,
        expires_at=instance.read_wall_clock() + lifetime_s,
    )
    return IssuedKey(text=f"{team} {key.text}", prefix=prefix)


def hash_body(*parts: str | bytes) -> str:
    """Return the hash by which repeats of a key are recognised as the same call."""
    digest = hashlib.sha256()
    for part in parts:
        data = part.encode() if isinstance(part, str) else part
        digest.update(len(data).to_bytes(8, "big"))
        digest.update(data)
    return digest.hexdigest()[:DIGEST_HEX_DIGITS]


def identify_key(key: IssuedKey) -> str:
    """Return the digest that identifies a key between its home and its witness."""
    return hashlib.sha256(key.text.encode()).hexdigest()[:DIGEST_HEX_DIGITS]


def is_home(instance: Instance, key: IssuedKey) -> bool:
    """Return whether this incarnation of the instance is the key's home."""
    return key.prefix.home == _get_incarnation(instance.member)


def find_address(instance: Instance, incarnation: Incarnation) -> str | None:
    """Return the peer address of an incarnation, `None` if it is known to be gone.

    A restarted instance must not be taken for its previous incarnation: it has the
    same name and address, but another boot number and empty tables.
    """
    member = instance.members.members.get(incarnation.name)
    is_same = member is not None and member.boot == incarnation.boot
    return member.peer_address if is_same else None
