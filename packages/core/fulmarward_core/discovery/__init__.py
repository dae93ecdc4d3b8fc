"""Selection of the instance addresses that callers use."""

from fulmarward_core.discovery.decisions import order_addresses

__all__ = ["order_addresses"]
