"""What instances tell each other, on links of their own or through hubs."""

from fulmarward_router.mesh._codec import decode_message, encode_message
from fulmarward_router.mesh._links import Mesh, MeshNews
from fulmarward_router.mesh._members import Member, MemberState, MemberTable
from fulmarward_router.mesh._messages import (
    AskConfiguration,
    AskTargets,
    Beat,
    ConfigurationDeferred,
    ConfigurationHeard,
    ConfigurationNews,
    DataCentreNews,
    InstanceTold,
    LoadTold,
    LossTold,
    MemberTold,
    PaceTold,
    RowTold,
    TargetsNews,
)

__all__ = [
    "AskConfiguration",
    "AskTargets",
    "Beat",
    "ConfigurationDeferred",
    "ConfigurationHeard",
    "ConfigurationNews",
    "DataCentreNews",
    "InstanceTold",
    "LoadTold",
    "LossTold",
    "Member",
    "MemberState",
    "MemberTable",
    "MemberTold",
    "Mesh",
    "MeshNews",
    "PaceTold",
    "RowTold",
    "TargetsNews",
    "decode_message",
    "encode_message",
]
