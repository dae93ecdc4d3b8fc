"""The state of the retry budget."""

from dataclasses import dataclass


@dataclass(kw_only=True)
class RetryBudget:
    """Retries that one instance may still send to one pool."""

    #: Available retries; a new instance starts with a few for its first failures.
    saved: float = 8.0
