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
    parse_event_id,
    seal_locator,
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
    "parse_event_id",
]
