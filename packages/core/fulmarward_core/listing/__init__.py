"""Selection of the instances that are listed for callers."""

from fulmarward_core.listing.decisions import Candidate, choose_listed

__all__ = ["Candidate", "choose_listed"]
