"""Admission state shared by the tasks of one instance."""

from fulmarward.admission._state import AdmissionState, Pool, find_pool

__all__ = ["AdmissionState", "Pool", "find_pool"]
