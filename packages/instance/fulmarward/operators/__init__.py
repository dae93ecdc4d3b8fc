"""The operators' HTTP API: JSON, authenticated by operator tokens."""

from fulmarward.operators._server import make_operator_app

__all__ = ["make_operator_app"]
