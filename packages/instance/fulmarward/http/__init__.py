"""What all HTTP clients of an instance share."""

from fulmarward.http._bounded import (
    BoundedHandler,
    BoundedResponse,
    ResponseGuard,
    ResponseLimits,
    ResponseTooLarge,
)
from fulmarward.http._send_once import ConnectionLost, send_once

__all__ = [
    "BoundedHandler",
    "BoundedResponse",
    "ConnectionLost",
    "ResponseGuard",
    "ResponseLimits",
    "ResponseTooLarge",
    "send_once",
]
