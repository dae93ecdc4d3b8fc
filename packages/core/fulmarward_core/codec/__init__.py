"""Messages between processes as CBOR, with every field checked against its type."""

from fulmarward_core.codec._codec import Message, MessageCodec, MessageFault

__all__ = ["Message", "MessageCodec", "MessageFault"]
