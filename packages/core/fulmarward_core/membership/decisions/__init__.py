"""Membership decisions, as functions without I/O."""
