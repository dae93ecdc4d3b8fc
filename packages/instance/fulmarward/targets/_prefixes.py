"""Hashes of prompt prefixes, equal to those that engines use for their caches."""

import xxhash

#: Words per block; engines cache prefixes that end at a block boundary.
PREFIX_TOKENS = 16

#: Maximum blocks hashed per prompt. Hashing a prompt of 100,000 words whole would block
#: the event loop. Shared prefixes are shorter than 4,096 words.
MAX_PREFIXES = 256


def hash_prefixes(prompt: str) -> tuple[str, ...]:
    """Return the hashes of a prompt's prefixes, the shortest first."""
    words = prompt.split(None, MAX_PREFIXES * PREFIX_TOKENS)
    hasher = xxhash.xxh64()
    found = []
    block_count = min(len(words) // PREFIX_TOKENS, MAX_PREFIXES)
    for block in range(block_count):
        start = block * PREFIX_TOKENS
        text = " ".join(words[start : start + PREFIX_TOKENS])
        hasher.update((" " + text if block else text).encode())
        found.append(hasher.hexdigest())
    return tuple(found)
