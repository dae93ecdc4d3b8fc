"""Encodes messages between processes as CBOR and validates their field types."""

from fulmarward_core.codec._codec import (
    InvalidMessageError,
    Message,
    MessageCodec,
    OversizedMessageError,
)

__all__ = [
    "Message",
    "MessageCodec",
    "InvalidMessageError",
    "OversizedMessageError",
]
