"""Description of the targets: services, engines, accelerators and target records."""

from fulmarward_core.fleet._types import (
    AcceleratorKind,
    EngineModel,
    LayerRange,
    ServiceSpec,
    TargetRecord,
    compute_kv_capacity,
)

__all__ = [
    "AcceleratorKind",
    "EngineModel",
    "LayerRange",
    "ServiceSpec",
    "TargetRecord",
    "compute_kv_capacity",
]
