"""Fingerprints of whole requests, by which identical ones are recognized."""

from hashlib import blake2b

#: What the fingerprint of a request begins with. Ids of prompt parts never do.
_PREFIX = "request:"

#: Bytes of the digests of what precedes the body, and of the whole request.
_HEAD_DIGEST_BYTES = 4
_DIGEST_BYTES = 12


def compute_head_fingerprint(
    *, method: str, host: str, path: str, team: str, body_bytes: int
) -> str:
    """Return the digest of all of a request but the content of its body.

    `path` includes the query, `team` is empty if there is none, and `body_bytes` is the
    size of the body.
    """
    head = repr((method, host.lower(), path, team, body_bytes))
    return blake2b(head.encode(), digest_size=_HEAD_DIGEST_BYTES).hexdigest()


def compute_fingerprint(head: str, body: bytes) -> str:
    """Return the fingerprint of a request, which contains that of its head."""
    digest = blake2b(body, digest_size=_DIGEST_BYTES, key=head.encode())
    return f"{_PREFIX}{head}-{digest.hexdigest()}"


def find_head_fingerprint(pattern: str) -> str | None:
    """Return the head in the fingerprint of a request, `None` for another pattern."""
    if not pattern.startswith(_PREFIX):
        return None
    return pattern.removeprefix(_PREFIX).partition("-")[0]
