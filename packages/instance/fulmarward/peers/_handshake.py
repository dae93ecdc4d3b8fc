"""Mutual authentication of two instances by the fleet's shared secret.

Keeps unauthenticated clients off the peer port: a proof over a fresh nonce requires
the secret, and a proof captured on one link is invalid on another.
"""

import hashlib
import hmac
import secrets
from collections.abc import Sequence

from websockets.asyncio.connection import Connection

from fulmarward.peers._codec import InvalidMessageError, decode_message, encode_message
from fulmarward.peers._messages import Challenge, Hello, Welcome
from fulmarward_core.membership import Member

#: Length of a nonce in bytes.
NONCE_BYTES = 16

#: Maximum size in bytes of a message of the handshake, whose sender may be a stranger.
MAX_HANDSHAKE_BYTES = 64 << 10


class HandshakeRefused(Exception):
    """The other side did not prove that it knows the secret."""


def make_proof(
    secret: bytes, *, role: str, name: str, own_nonce: bytes, other_nonce: bytes
) -> bytes:
    """Return the HMAC that proves one side's role, name and both nonces."""
    message = b"\0".join([role.encode(), name.encode(), own_nonce, other_nonce])
    return hmac.new(secret, message, hashlib.sha256).digest()


def check_proof(
    accepted: Sequence[bytes], proof: bytes, **covered: str | bytes
) -> bytes | None:
    """Return the accepted secret that `proof` was made with, or `None`."""
    for secret in accepted:
        if hmac.compare_digest(make_proof(secret, **covered), proof):
            return secret
    return None


async def _receive(connection: Connection, kind: type) -> object:
    data = await connection.recv()
    if len(data) > MAX_HANDSHAKE_BYTES:
        raise HandshakeRefused(f"expected at most {MAX_HANDSHAKE_BYTES} bytes")
    try:
        message = decode_message(data)
    except InvalidMessageError as error:
        raise HandshakeRefused(str(error)) from error
    if not isinstance(message, kind):
        raise HandshakeRefused(f"expected {kind.__name__}")
    return message


async def authenticate_dialler(
    connection: Connection, *, own: Member, accepted: Sequence[bytes]
) -> Member:
    """Run the listening side's handshake; return the dialling member or raise."""
    nonce = secrets.token_bytes(NONCE_BYTES)
    await connection.send(encode_message(Challenge(nonce=nonce)))
    hello = await _receive(connection, Hello)
    secret = check_proof(
        accepted,
        hello.proof,
        role="dial",
        name=hello.member.name,
        own_nonce=hello.nonce,
        other_nonce=nonce,
    )
    if secret is None:
        raise HandshakeRefused("expected a proof of the peer secret")
    proof = make_proof(
        secret, role="listen", name=own.name, own_nonce=nonce, other_nonce=hello.nonce
    )
    await connection.send(encode_message(Welcome(member=own, proof=proof)))
    return hello.member


async def authenticate_to_listener(
    connection: Connection, *, own: Member, accepted: Sequence[bytes]
) -> Member:
    """Run the dialling side's handshake; return the listening member or raise."""
    challenge = await _receive(connection, Challenge)
    nonce = secrets.token_bytes(NONCE_BYTES)
    proof = make_proof(
        accepted[0],
        role="dial",
        name=own.name,
        own_nonce=nonce,
        other_nonce=challenge.nonce,
    )
    await connection.send(encode_message(Hello(member=own, nonce=nonce, proof=proof)))
    welcome = await _receive(connection, Welcome)
    secret = check_proof(
        accepted,
        welcome.proof,
        role="listen",
        name=welcome.member.name,
        own_nonce=challenge.nonce,
        other_nonce=nonce,
    )
    if secret is None:
        raise HandshakeRefused("expected a proof of the peer secret")
    return welcome.member
