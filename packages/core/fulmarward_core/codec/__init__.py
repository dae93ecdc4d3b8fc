"""Encodes messages between processes as CBOR and validates their field types."""

from fulmarward_core.codec._codec import Message, MessageCodec, MessageFault

__all__ = ["Message", "MessageCodec", "MessageFault"]
