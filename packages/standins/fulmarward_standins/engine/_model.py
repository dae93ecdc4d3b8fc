"""The model itself: a chain of hashes, so that every layer shows in the result.

A token's value starts from the prompt and the position, passes every layer in
order, and chooses a word. A layer left out, run twice or out of order gives
another word, whichever engines hold the layers.
"""

import re

import xxhash

_WORDS = (
    "call crew van gaffer sunrise unit move sheet runner light harbour port tide "
    "gate bulletin coding field tablet road night early late stage camera focus"
).split()

_WANTED = re.compile(r"\[(\d+) tokens\]")

#: Shortest answer to a prompt that does not say how long it shall be, in tokens.
_LEAST_TOKENS = 8


def start_position(prompt: str, position: int) -> int:
    """Return the value that goes into layer 0 for one token."""
    return xxhash.xxh64_intdigest(f"{position}:{prompt}".encode())


def run_layers(value: int, first: int, end: int) -> int:
    """Return `value` after the layers from `first` up to, not including, `end`."""
    for layer in range(first, end):
        value = xxhash.xxh64_intdigest(f"{layer}:{value}".encode())
    return value


def make_word(value: int) -> str:
    """Return the text of the token that the last layer's `value` chooses."""
    return _WORDS[value % len(_WORDS)] + " "


def count_answer_tokens(prompt: str, most: int) -> int:
    """Return how long the answer is; `[N tokens]` in a prompt asks for N."""
    wanted = _WANTED.search(prompt)
    if wanted:
        return min(int(wanted.group(1)), most)
    natural = _LEAST_TOKENS + xxhash.xxh64_intdigest(prompt.encode()) % 16
    return min(natural, most)


def answer_tokens(prompt: str, most: int, layers: int) -> list[str]:
    """Return the whole answer that a right execution gives."""
    return [
        make_word(run_layers(start_position(prompt, position), 0, layers))
        for position in range(count_answer_tokens(prompt, most))
    ]
