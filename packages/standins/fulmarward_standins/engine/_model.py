"""The model: a chain of hashes, so that every layer affects the result.

A token's value starts from the prompt and the position, passes every layer in
order, and selects a word. Skipping a layer, running it twice or out of order gives
another word, whichever engines hold the layers.
"""

import re

import xxhash

_WORDS = (
    "call crew van gaffer sunrise unit move sheet runner light harbour port tide "
    "gate bulletin coding field tablet road night early late stage camera focus"
).split()

_REQUESTED_TOKENS = re.compile(r"\[(\d+) tokens\]")

#: Minimum number of tokens in a response to a prompt that requests no length.
_MIN_TOKENS = 8


def hash_position(prompt: str, position: int) -> int:
    """Return the input of layer 0 for the token at `position`."""
    return xxhash.xxh64_intdigest(f"{position}:{prompt}".encode())


def run_layers(value: int, first: int, end: int) -> int:
    """Return the output of the layers from `first` up to, not including, `end`."""
    for layer in range(first, end):
        value = xxhash.xxh64_intdigest(f"{layer}:{value}".encode())
    return value


def choose_word(value: int) -> str:
    """Return the token text for the output of the last layer."""
    return _WORDS[value % len(_WORDS)] + " "


def count_answer_tokens(prompt: str, max_tokens: int) -> int:
    """Return the length of the response; `[N tokens]` in a prompt requests N."""
    requested = _REQUESTED_TOKENS.search(prompt)
    if requested:
        return min(int(requested.group(1)), max_tokens)
    natural = _MIN_TOKENS + xxhash.xxh64_intdigest(prompt.encode()) % 16
    return min(natural, max_tokens)


def answer_tokens(prompt: str, max_tokens: int, layers: int) -> list[str]:
    """Return all tokens of a correct response."""
    return [
        choose_word(run_layers(hash_position(prompt, position), 0, layers))
        for position in range(count_answer_tokens(prompt, max_tokens))
    ]
