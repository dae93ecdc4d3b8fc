"""Which addresses callers are told to use."""

from fulmarward_core.discovery._listing import Candidate, choose_listed
from fulmarward_core.discovery.decisions import order_addresses

__all__ = ["Candidate", "choose_listed", "order_addresses"]
