"""Whether an instance is isolated: none of its connections to targets is answered."""

from fulmarward_core.isolation._tracker import IsolationChange, IsolationTracker

__all__ = ["IsolationChange", "IsolationTracker"]
