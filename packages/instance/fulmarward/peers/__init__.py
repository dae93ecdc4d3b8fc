"""Links between instances: websockets that carry CBOR messages."""

from fulmarward.peers._codec import MessageFault, decode_message, encode_message
from fulmarward.peers._links import PeerLinks, PeerLost
from fulmarward.peers._messages import (
    AskBody,
    AskHead,
    Body,
    HeadNews,
    HealthNews,
    LeavingNews,
    LeavingSync,
    Nothing,
    Ping,
    Pong,
    SyncMembers,
)
from fulmarward.peers._server import PeerHandlers, serve_peers

__all__ = [
    "AskBody",
    "AskHead",
    "Body",
    "HeadNews",
    "HealthNews",
    "LeavingNews",
    "LeavingSync",
    "MessageFault",
    "Nothing",
    "PeerHandlers",
    "PeerLinks",
    "PeerLost",
    "Ping",
    "Pong",
    "SyncMembers",
    "decode_message",
    "encode_message",
    "serve_peers",
]
