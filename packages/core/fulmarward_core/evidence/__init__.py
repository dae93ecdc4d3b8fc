"""When targets last answered a report request, and which paces they reported."""

from fulmarward_core.evidence._table import EvidenceTable, Reading

__all__ = ["EvidenceTable", "Reading"]
