"""What instances tell each other, on links of their own or through hubs."""

from fulmarward_router.mesh._codec import decode_message, encode_message
from fulmarward_router.mesh._links import Mesh
from fulmarward_router.mesh._members import Member, MemberState, MemberTable
from fulmarward_router.mesh._messages import (
    CompressedConfiguration,
    ConfigurationDeferred,
    ConfigurationReceived,
    ConfigurationSnapshot,
    DataCentreReport,
    FailureReport,
    FetchCompressedConfiguration,
    FetchConfiguration,
    FetchTargets,
    Heartbeat,
    InstanceIdentity,
    InstanceReport,
    LoadReport,
    PaceReport,
    RowSnapshot,
    SupportsCompression,
    TargetChanges,
)
from fulmarward_router.mesh._state import Answer, Fetch, MeshState, Snapshot

__all__ = [
    "Answer",
    "FetchConfiguration",
    "FetchCompressedConfiguration",
    "FetchTargets",
    "Heartbeat",
    "ConfigurationDeferred",
    "ConfigurationReceived",
    "ConfigurationSnapshot",
    "DataCentreReport",
    "InstanceReport",
    "LoadReport",
    "FailureReport",
    "Member",
    "MemberState",
    "MemberTable",
    "InstanceIdentity",
    "Mesh",
    "MeshState",
    "Snapshot",
    "PaceReport",
    "CompressedConfiguration",
    "Fetch",
    "RowSnapshot",
    "TargetChanges",
    "SupportsCompression",
    "decode_message",
    "encode_message",
]
