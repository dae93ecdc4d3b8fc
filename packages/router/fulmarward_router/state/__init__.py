"""What an instance believes: configuration, targets, peers' news, the store."""

from fulmarward_router.state._configuration import ConfigurationHolder
from fulmarward_router.state._news import Knowledge
from fulmarward_router.state._watch import StoreWatch

__all__ = ["ConfigurationHolder", "Knowledge", "StoreWatch"]
