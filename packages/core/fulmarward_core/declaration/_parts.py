"""Splits a declaration into parts that are stored and sent under their own hashes.

A small section is one part. The entries of a large section are distributed over
parts by the hashes of their names, so that changing one target transfers only one
part and the manifest.
"""

import hashlib
import json
from collections.abc import Mapping
from dataclasses import dataclass

from fulmarward_core.declaration._parse import SECTIONS

#: Maximum average number of entries in a part of a section. A declaration with 4,100
#: targets and 550 teams changes 2,100 times a day. The targets alone are 0.8 MB, and
#: sending them whole takes five times the budget of 4 KB/s. With 64 entries, a part is
#: about as large as the manifest with the hashes of all parts.
ENTRIES_PER_PART = 64

#: Maximum number of parts in a manifest; a damaged one may name more.
MAX_PARTS = 8_192


@dataclass(frozen=True, kw_only=True)
class SplitDeclaration:
    """A declaration in its stored form: a manifest and the bodies of its parts."""

    #: Hash of the manifest; it identifies the whole content.
    content_hash: str
    #: The manifest and all parts, by content hash.
    bodies: Mapping[str, bytes]


def hash_body(body: bytes) -> str:
    """Return the content hash of a body, its key in the object store."""
    return hashlib.sha256(body).hexdigest()


def split_declaration(value: Mapping[str, object]) -> SplitDeclaration:
    """Split a declaration into parts; equal content gives equal parts."""
    parts = {
        name: _encode_json(part)
        for section, entries in value.items()
        for name, part in _split_section(section, entries).items()
    }
    manifest = _encode_json({name: hash_body(body) for name, body in parts.items()})
    bodies = {hash_body(body): body for body in [manifest, *parts.values()]}
    return SplitDeclaration(content_hash=hash_body(manifest), bodies=bodies)


def hash_declaration(value: Mapping[str, object]) -> str:
    """Return the content hash of a declaration; equal content gives equal hashes."""
    return split_declaration(value).content_hash


def parse_manifest(body: bytes) -> dict[str, str] | None:
    """Return part hashes by part name, or `None` if `body` is no valid manifest."""
    try:
        manifest = json.loads(body)
    except ValueError:
        return None
    if not isinstance(manifest, dict) or len(manifest) > MAX_PARTS:
        return None
    for name, content_hash in manifest.items():
        if name.partition("/")[0] not in SECTIONS or not isinstance(content_hash, str):
            return None
    return manifest


def join_declaration(
    manifest: Mapping[str, str], bodies: Mapping[str, bytes]
) -> dict[str, object] | None:
    """Return the original JSON value, or `None` if a part is missing or damaged."""
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


def _encode_json(value: object) -> bytes:
    return json.dumps(value, sort_keys=True, separators=(",", ":")).encode()


def _split_section(section: str, entries: object) -> dict[str, object]:
    if not isinstance(entries, Mapping) or len(entries) <= ENTRIES_PER_PART:
        return {section: entries}
    count = 1 << ((len(entries) - 1) // ENTRIES_PER_PART).bit_length()
    parts: dict[str, dict] = {}
    for name, entry in entries.items():
        digest = hashlib.blake2b(name.encode(), digest_size=4).digest()
        number = int.from_bytes(digest) % count
        parts.setdefault(f"{section}/{number}", {})[name] = entry
    return parts
