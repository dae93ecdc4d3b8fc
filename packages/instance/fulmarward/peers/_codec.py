"""Encodes and decodes messages between instances as CBOR."""

from fulmarward.peers._messages import MESSAGES
from fulmarward_core.codec import InvalidMessageError, MessageCodec

_CODEC = MessageCodec(messages=MESSAGES)

encode_message = _CODEC.encode
decode_message = _CODEC.decode

__all__ = ["InvalidMessageError", "decode_message", "encode_message"]
