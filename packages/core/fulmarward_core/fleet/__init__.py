"""What an instance knows of the targets: services, engines, kinds and records."""

from fulmarward_core.fleet._types import (
    AcceleratorKind,
    EngineModel,
    LayerRange,
    ServiceSpec,
    TargetRecord,
    count_kv_capacity,
)

__all__ = [
    "AcceleratorKind",
    "EngineModel",
    "LayerRange",
    "ServiceSpec",
    "TargetRecord",
    "count_kv_capacity",
]
