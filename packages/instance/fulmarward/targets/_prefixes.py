"""The names that engines give the prefixes of a prompt."""

import xxhash

#: Words of one block; engines cache prefixes that end on a block.
PREFIX_TOKENS = 16

#: Blocks hashed of one prompt. Load: prompts of 100,000 words; harm: the loop stands
#: still while they are hashed; reason: shared prefixes are shorter than 4,096 words.
MOST_PREFIXES = 256


def hash_prefixes(prompt: str) -> tuple[str, ...]:
    """Return the hashes that engines give a prompt's prefixes, the shortest first."""
    words = prompt.split(None, MOST_PREFIXES * PREFIX_TOKENS)
    hashing = xxhash.xxh64()
    found = []
    whole = min(len(words) // PREFIX_TOKENS, MOST_PREFIXES)
    for block in range(whole):
        start = block * PREFIX_TOKENS
        text = " ".join(words[start : start + PREFIX_TOKENS])
        hashing.update((" " + text if block else text).encode())
        found.append(hashing.hexdigest())
    return tuple(found)
