"""The state of admission that the tasks of one instance share."""

from fulmarward.admission._state import AdmissionState, Pool, find_pool

__all__ = ["AdmissionState", "Pool", "find_pool"]
