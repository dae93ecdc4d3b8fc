"""What instances tell each other, each on its own link to every other one."""

from fulmarward_router.mesh._codec import decode_message, encode_message
from fulmarward_router.mesh._links import Mesh, MeshNews
from fulmarward_router.mesh._members import Member, MemberTable
from fulmarward_router.mesh._messages import (
    AskConfiguration,
    AskTargets,
    Beat,
    ConfigurationNews,
    LoadTold,
    LossTold,
    MemberTold,
    RowTold,
    TargetsNews,
)

__all__ = [
    "AskConfiguration",
    "AskTargets",
    "Beat",
    "ConfigurationNews",
    "LoadTold",
    "LossTold",
    "Member",
    "MemberTable",
    "MemberTold",
    "Mesh",
    "MeshNews",
    "RowTold",
    "TargetsNews",
    "decode_message",
    "encode_message",
]
