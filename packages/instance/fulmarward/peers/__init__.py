"""Links between instances: websockets that carry CBOR messages."""

from fulmarward.peers._codec import MessageFault, decode_message, encode_message
from fulmarward.peers._links import PeerLinks, PeerLost
from fulmarward.peers._messages import (
    AskBody,
    AskHead,
    AskMembers,
    AskOutcomes,
    AskProbe,
    Body,
    BucketMembers,
    HeadNews,
    HealthNews,
    LeavingNews,
    LeavingSync,
    Nothing,
    OutcomeCounts,
    Ping,
    Pong,
    Probed,
    SyncMembers,
)
from fulmarward.peers._server import PeerHandlers, serve_peers

__all__ = [
    "AskBody",
    "AskHead",
    "AskOutcomes",
    "AskMembers",
    "AskProbe",
    "Body",
    "BucketMembers",
    "HeadNews",
    "HealthNews",
    "LeavingNews",
    "LeavingSync",
    "MessageFault",
    "Nothing",
    "OutcomeCounts",
    "PeerHandlers",
    "PeerLinks",
    "PeerLost",
    "Ping",
    "Pong",
    "Probed",
    "SyncMembers",
    "decode_message",
    "encode_message",
    "serve_peers",
]
