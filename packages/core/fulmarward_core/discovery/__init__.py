"""Which addresses callers are told to use."""

from fulmarward_core.discovery.decisions import order_addresses

__all__ = ["order_addresses"]
