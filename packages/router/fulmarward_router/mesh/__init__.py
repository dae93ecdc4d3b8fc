"""What instances tell each other, on links of their own or through hubs."""

from fulmarward_router.mesh._codec import decode_message, encode_message
from fulmarward_router.mesh._links import Answer, Mesh, MeshNews, News, Question
from fulmarward_router.mesh._members import Member, MemberState, MemberTable
from fulmarward_router.mesh._messages import (
    AskConfiguration,
    AskPackedConfiguration,
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
    PackedConfigurationNews,
    RowTold,
    TargetsNews,
    UnderstandsPacked,
)

__all__ = [
    "Answer",
    "AskConfiguration",
    "AskPackedConfiguration",
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
    "News",
    "PaceTold",
    "PackedConfigurationNews",
    "Question",
    "RowTold",
    "TargetsNews",
    "UnderstandsPacked",
    "decode_message",
    "encode_message",
]
