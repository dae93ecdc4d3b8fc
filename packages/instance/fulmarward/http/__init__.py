"""What all HTTP clients of an instance share."""

from fulmarward.http._send_once import ConnectionLost, send_once

__all__ = ["ConnectionLost", "send_once"]
