"""What all HTTP clients and servers of an instance share."""

from fulmarward.http._bounded import (
    BoundedHandler,
    BoundedResponse,
    ResponseGuard,
    ResponseLimits,
    ResponseTooLarge,
)
from fulmarward.http._connections import (
    ACCEPTED_PER_TURN,
    WAITING_CONNECTIONS,
    BoundedAppRunner,
    BoundedConnection,
    BoundedServer,
    CloseReason,
    ConnectionBudget,
    RequestLimits,
    limit_reads,
    listen_bounded,
    start_bounded,
)
from fulmarward.http._send_once import ConnectionLost, send_once

__all__ = [
    "ACCEPTED_PER_TURN",
    "WAITING_CONNECTIONS",
    "BoundedAppRunner",
    "BoundedConnection",
    "BoundedHandler",
    "BoundedResponse",
    "BoundedServer",
    "CloseReason",
    "ConnectionBudget",
    "ConnectionLost",
    "RequestLimits",
    "ResponseGuard",
    "ResponseLimits",
    "ResponseTooLarge",
    "limit_reads",
    "listen_bounded",
    "send_once",
    "start_bounded",
]
