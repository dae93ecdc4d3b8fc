"""Locators of streams, which callers carry in event ids."""

from fulmarward_core.streams._locators import (
    EventId,
    Locator,
    Stage,
    TextDigest,
    digest_prompt,
    digest_texts,
    make_event_id,
    open_locator,
    seal_locator,
    split_event_id,
)

__all__ = [
    "EventId",
    "Locator",
    "Stage",
    "TextDigest",
    "digest_prompt",
    "digest_texts",
    "make_event_id",
    "open_locator",
    "seal_locator",
    "split_event_id",
]
