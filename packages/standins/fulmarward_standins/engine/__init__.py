"""Stand-in for a model engine: batching, streams, layer steps, placement orders."""

from fulmarward_standins.engine._app import make_engine_app
from fulmarward_standins.engine._model import (
    answer_tokens,
    choose_word,
    count_answer_tokens,
    hash_position,
    run_layers,
)
from fulmarward_standins.engine._spec import EngineSpec

__all__ = [
    "EngineSpec",
    "answer_tokens",
    "count_answer_tokens",
    "make_engine_app",
    "choose_word",
    "run_layers",
    "hash_position",
]
