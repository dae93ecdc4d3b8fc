"""The state of an instance: configuration, targets, peers' reports, the store."""

from fulmarward_router.state._configuration import ConfigurationHolder
from fulmarward_router.state._instances import InstanceRows
from fulmarward_router.state._knowledge import Knowledge
from fulmarward_router.state._target_news import TargetNews
from fulmarward_router.state._watch import StoreWatch

__all__ = [
    "ConfigurationHolder",
    "InstanceRows",
    "Knowledge",
    "StoreWatch",
    "TargetNews",
]
