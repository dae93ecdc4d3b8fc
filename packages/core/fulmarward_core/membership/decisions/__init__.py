"""Decisions about members; all pure."""
