"""The parts in which a declaration is stored and sent, each under its own hash.

A section with few entries is one part. A large one is split by the hash of its
entries' names, so that a change of one target moves one part and the manifest.
"""

import hashlib
import json
from collections.abc import Mapping
from dataclasses import dataclass

from fulmarward_core.declaration._parse import SECTIONS

#: Entries of a section for each of its parts, at most on average. Load: 2,100 changes
#: a day of a file with 4,100 targets and 550 teams; harm: the targets alone are 0.8 MB
#: and sent whole take five times the budget of 4 KB/s; reason: the changed part and
#: the manifest with all parts' hashes are then about as large as each other.
PART_ENTRIES = 64

#: Most parts that a manifest may name, against a damaged one.
MOST_PARTS = 8_192


@dataclass(frozen=True, kw_only=True)
class SplitDeclaration:
    """A declaration as it is stored: a manifest and the bodies of its parts."""

    #: Hash of the manifest; it stands for the whole content.
    content_hash: str
    #: The manifest and every part by content hash.
    bodies: Mapping[str, bytes]


def hash_body(body: bytes) -> str:
    """Return the content hash of a body, its key in the object store."""
    return hashlib.sha256(body).hexdigest()


def split_declaration(value: Mapping[str, object]) -> SplitDeclaration:
    """Return the parts of a declaration; equal content gives equal parts."""
    parts = {
        name: _render(part)
        for section, entries in value.items()
        for name, part in _split_section(section, entries).items()
    }
    manifest = _render({name: hash_body(body) for name, body in parts.items()})
    bodies = {hash_body(body): body for body in [manifest, *parts.values()]}
    return SplitDeclaration(content_hash=hash_body(manifest), bodies=bodies)


def hash_declaration(value: Mapping[str, object]) -> str:
    """Return the content hash of a declaration, the same for equal content."""
    return split_declaration(value).content_hash


def read_manifest(body: bytes) -> dict[str, str] | None:
    """Return the hashes of the parts by part name, or `None` for no manifest."""
    try:
        manifest = json.loads(body)
    except ValueError:
        return None
    if not isinstance(manifest, dict) or len(manifest) > MOST_PARTS:
        return None
    for name, content_hash in manifest.items():
        if name.partition("/")[0] not in SECTIONS or not isinstance(content_hash, str):
            return None
    return manifest


def join_declaration(
    manifest: Mapping[str, str], bodies: Mapping[str, bytes]
) -> dict[str, object] | None:
    """Return the JSON value that was split, or `None` when the parts do not fit."""
    value: dict[str, object] = {}
    try:
        for name, content_hash in manifest.items():
            section, _, number = name.partition("/")
            part = json.loads(bodies[content_hash])
            if number:
                value.setdefault(section, {}).update(part)
            else:
                value[section] = part
    except (ValueError, TypeError, AttributeError, KeyError):
        return None
    return value


def _render(value: object) -> bytes:
    return json.dumps(value, sort_keys=True, separators=(",", ":")).encode()


def _split_section(section: str, entries: object) -> dict[str, object]:
    if not isinstance(entries, Mapping) or len(entries) <= PART_ENTRIES:
        return {section: entries}
    count = 1 << ((len(entries) - 1) // PART_ENTRIES).bit_length()
    parts: dict[str, dict] = {}
    for name, entry in entries.items():
        digest = hashlib.blake2b(name.encode(), digest_size=4).digest()
        number = int.from_bytes(digest) % count
        parts.setdefault(f"{section}/{number}", {})[name] = entry
    return parts
