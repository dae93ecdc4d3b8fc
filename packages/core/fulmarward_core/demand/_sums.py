"""Sums of demands by service and urgency, updated incrementally."""

import math
import operator
from collections.abc import Hashable, Iterable, Mapping

from fulmarward_core.demand._types import ClassDemand

#: Demand by service, each class once.
Demands = Mapping[str, tuple[ClassDemand, ...]]

#: Amounts of a class, as many for each class of a sum: for demands, in the order of the
#: fields of `ClassDemand` after its urgency.
Amounts = tuple[float, ...]

#: What amounts are summed by within a service: for demands, the urgency.
ClassKey = Hashable

#: Integer amounts of one reporter by service and class.
ClassAmounts = Mapping[tuple[str, ClassKey], Amounts]

get_amounts = operator.attrgetter(
    "on_time_kv", "late_kv", "arriving_kv_per_s", "released_kv_per_s", "promised_kv"
)


def make_class_demand(urgency: int, amounts: Amounts) -> ClassDemand:
    """Return the demand of a class from its amounts."""
    on_time_kv, late_kv, arriving_kv_per_s, released_kv_per_s, promised_kv = amounts
    return ClassDemand(
        urgency=urgency,
        on_time_kv=float(on_time_kv),
        late_kv=float(late_kv),
        arriving_kv_per_s=float(arriving_kv_per_s),
        released_kv_per_s=float(released_kv_per_s),
        promised_kv=float(promised_kv),
    )


def make_class_demands(classes: Mapping[int, Amounts]) -> tuple[ClassDemand, ...]:
    """Return the demands of the classes of a service that have any, in order."""
    return tuple(
        make_class_demand(urgency, classes[urgency])
        for urgency in sorted(classes)
        if any(classes[urgency])
    )


def add_classes(
    all_classes: Iterable[Mapping[ClassKey, Amounts]],
) -> dict[ClassKey, Amounts]:
    """Return the sum by class."""
    total: dict[ClassKey, Amounts] = {}
    for classes in all_classes:
        for key, amounts in classes.items():
            known = total.get(key)
            total[key] = (
                amounts if known is None else tuple(map(operator.add, known, amounts))
            )
    return total


def find_larger_classes(
    one: Mapping[ClassKey, Amounts], other: Mapping[ClassKey, Amounts]
) -> dict[ClassKey, Amounts]:
    """Return the larger one of each amount by class."""
    larger = {**one, **other}
    for key in one.keys() & other.keys():
        larger[key] = tuple(map(max, one[key], other[key]))
    return larger


class AmountSum:
    """The sum of the amounts of many reporters, with subtraction.

    The amounts are integers, so that subtraction leaves no remainder.
    """

    def __init__(self) -> None:
        self._sums: dict[str, dict[ClassKey, Amounts]] = {}
        #: Number of reports in each sum.
        self._counts: dict[tuple[str, ClassKey], int] = {}

    def list_services(self) -> list[str]:
        """Return the services with amounts."""
        return list(self._sums)

    def find_classes(self, service: str) -> Mapping[ClassKey, Amounts]:
        """Return the amounts of a service by class."""
        return self._sums.get(service, {})

    def add(self, amounts: ClassAmounts) -> None:
        """Add the amounts of one reporter."""
        for key, added in amounts.items():
            service, class_key = key
            classes = self._sums.setdefault(service, {})
            known = classes.get(class_key)
            classes[class_key] = (
                added if known is None else tuple(map(operator.add, known, added))
            )
            self._counts[key] = self._counts.get(key, 0) + 1

    def subtract(self, amounts: ClassAmounts) -> None:
        """Subtract amounts that were added before."""
        for key, removed in amounts.items():
            service, class_key = key
            classes = self._sums[service]
            self._counts[key] -= 1
            if self._counts[key]:
                classes[class_key] = tuple(
                    map(operator.sub, classes[class_key], removed)
                )
                continue
            del classes[class_key], self._counts[key]
            if not classes:
                del self._sums[service]

    def replace(self, known: ClassAmounts, current: ClassAmounts) -> None:
        """Replace the amounts of one reporter."""
        if known.keys() != current.keys():
            self.subtract(known)
            self.add(current)
            return
        for key, added in current.items():
            removed = known[key]
            if added != removed:
                service, class_key = key
                change = map(operator.sub, added, removed)
                classes = self._sums[service]
                classes[class_key] = tuple(
                    map(operator.add, classes[class_key], change)
                )


def round_amounts(demands: Demands) -> ClassAmounts:
    """Return the amounts by class, rounded up to integers."""
    return {
        (service, demand.urgency): tuple(map(math.ceil, get_amounts(demand)))
        for service, classes in demands.items()
        for demand in classes
    }
