"""The state of an instance: configuration, targets, peers' reports, the store."""

from fulmarward_router.state._configuration import ConfigurationHolder
from fulmarward_router.state._denials import (
    MAX_REQUEST_ID_BYTES,
    Denial,
    RecentDenials,
    find_request_id_fault,
)
from fulmarward_router.state._instance_state import InstanceState
from fulmarward_router.state._instances import InstanceRows
from fulmarward_router.state._leaving_targets import LeavingTargets
from fulmarward_router.state._poison import PoisonKnowledge
from fulmarward_router.state._poison_rows import PoisonRows
from fulmarward_router.state._retry_loans import RetryLoans
from fulmarward_router.state._return_promises import PromisedReturns
from fulmarward_router.state._target_changes import TargetChangeHandler
from fulmarward_router.state._target_limits import TargetLimits
from fulmarward_router.state._watch import StoreWatch

__all__ = [
    "MAX_REQUEST_ID_BYTES",
    "ConfigurationHolder",
    "Denial",
    "InstanceRows",
    "InstanceState",
    "PoisonKnowledge",
    "PoisonRows",
    "PromisedReturns",
    "RecentDenials",
    "RetryLoans",
    "StoreWatch",
    "TargetChangeHandler",
    "LeavingTargets",
    "TargetLimits",
    "find_request_id_fault",
]
