"""The HTTP interface for callers."""

from fulmarward.callers._server import make_caller_app

__all__ = ["make_caller_app"]
