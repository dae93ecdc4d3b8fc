"""Where a stream runs, in a sealed form that the caller carries."""

from fulmarward_core.streams._locators import (
    Locator,
    Stage,
    digest_prompt,
    make_event_id,
    open_locator,
    seal_locator,
    split_event_id,
)

__all__ = [
    "Locator",
    "Stage",
    "digest_prompt",
    "make_event_id",
    "open_locator",
    "seal_locator",
    "split_event_id",
]
