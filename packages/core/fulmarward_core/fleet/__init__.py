"""Description of the targets: services, engines, accelerators and target records."""

from fulmarward_core.fleet._types import (
    AcceleratorKind,
    EngineModel,
    LayerRange,
    ServiceSpec,
    TargetRecord,
    compute_kv_capacity,
)
from fulmarward_core.fleet.decisions import (
    MAX_TEXT_BYTES,
    RowFault,
    find_engine_misfit,
    find_misfit,
    judge_target,
    read_layers,
)

__all__ = [
    "MAX_TEXT_BYTES",
    "AcceleratorKind",
    "EngineModel",
    "LayerRange",
    "RowFault",
    "ServiceSpec",
    "TargetRecord",
    "compute_kv_capacity",
    "find_engine_misfit",
    "find_misfit",
    "judge_target",
    "read_layers",
]
