"""The state of the retry budget."""

from dataclasses import dataclass


@dataclass(kw_only=True)
class RetryBudget:
    """Retries that one instance may still make towards one pool."""

    #: Retries saved up; a fresh instance has a few for its first faults.
    saved: float = 8.0
