"""Where a stream runs, in a sealed form that the caller carries."""

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
