"""Answers in memory, written by the request's task and read by callers."""

from fulmarward.answers._answer import Answer

__all__ = ["Answer"]
