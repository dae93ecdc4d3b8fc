"""The operators' declaration: what the fleet serves. It is applied as a whole."""

from fulmarward_core.declaration._parse import SECTIONS, parse_declaration
from fulmarward_core.declaration._parts import (
    SplitDeclaration,
    hash_body,
    hash_declaration,
    join_declaration,
    parse_manifest,
    split_declaration,
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
    "SplitDeclaration",
    "Target",
    "TargetKind",
    "Team",
    "Urgency",
    "hash_body",
    "hash_declaration",
    "join_declaration",
    "parse_declaration",
    "parse_manifest",
    "split_declaration",
]
