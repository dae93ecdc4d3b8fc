"""The operators' edge: HTTP and JSON, with operator tokens."""

from fulmarward.operators._server import make_operator_app

__all__ = ["make_operator_app"]
