"""Journals of answers: what the request's task writes and callers read."""

from fulmarward.answers._answer import Answer

__all__ = ["Answer"]
