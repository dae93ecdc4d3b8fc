"""Encodes and decodes the messages between instances as CBOR."""

from fulmarward_core.codec import MessageCodec
from fulmarward_router.mesh._messages import MESSAGES

_CODEC = MessageCodec(messages=MESSAGES)

encode_message = _CODEC.encode
decode_message = _CODEC.decode
