"""Addresses that other writers have stored."""

from fulmarward_core.addresses.decisions import is_address

__all__ = ["is_address"]
