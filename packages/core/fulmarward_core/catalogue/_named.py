"""The targets that the services of the configuration can use."""

from collections.abc import Callable, Mapping

from fulmarward_core.catalogue._catalogue import TargetCatalogue
from fulmarward_core.fleet import RowFault, ServiceSpec, TargetRecord, find_misfit


class NamedTargets:
    """A view of a catalogue for what chooses targets without a request for them.

    Other writers may list their own servers, which must not get probes either. A target
    that is chosen by its name may be any: streams to a service that a new configuration
    lacks go on.
    """

    def __init__(
        self,
        *,
        catalogue: TargetCatalogue,
        get_services: Callable[[], Mapping[str, ServiceSpec] | None],
    ) -> None:
        self._catalogue = catalogue
        #: Returns the services by name, `None` without a configuration.
        self._get_services = get_services

    @property
    def is_known(self) -> bool:
        """Whether the whole list and the services are known."""
        return self._catalogue.is_known and self._get_services() is not None

    def list_targets(self, *, now: float) -> list[TargetRecord]:
        """Return the targets that may be alive and that a service can use."""
        services = self._get_services() or {}
        return [
            record
            for record in self._catalogue.list_targets(now=now)
            if find_misfit(record, services) is None
        ]

    def list_misfits(self, *, now: float) -> dict[str, RowFault]:
        """Return why listed targets cannot be used; none without a configuration."""
        services = self._get_services()
        if services is None:
            return {}
        faults = {
            record.name: find_misfit(record, services)
            for record in self._catalogue.list_targets(now=now)
        }
        return {name: fault for name, fault in faults.items() if fault is not None}

    def find_target(self, name: str) -> TargetRecord | None:
        """Return the target of that name, of any service, or `None`."""
        return self._catalogue.find_target(name)
