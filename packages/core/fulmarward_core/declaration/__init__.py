"""The operators' declaration: what the fleet shall serve, applied as a whole."""

from fulmarward_core.declaration._parse import (
    SECTIONS,
    hash_declaration,
    parse_declaration,
)
from fulmarward_core.declaration._types import (
    DataCentre,
    Declaration,
    Link,
    Model,
    Pipeline,
    Service,
    ServiceCall,
    Target,
    TargetKind,
    Team,
    Urgency,
)

__all__ = [
    "SECTIONS",
    "DataCentre",
    "Declaration",
    "Link",
    "Model",
    "Pipeline",
    "Service",
    "ServiceCall",
    "Target",
    "TargetKind",
    "Team",
    "Urgency",
    "hash_declaration",
    "parse_declaration",
]
