"""The waiting requests of engine services, and the release of their answers."""

from types import SimpleNamespace

from fulmarward_core.queueing import WaitingRequest
from fulmarward_router.exchange.tests.test_ended_streams import _EndedStreamTest
from fulmarward_router.exchange.tests.test_late_streams import _ENGINE


def _make_state(urgencies, *, has_sought_path):
    configuration = SimpleNamespace(
        class_services=frozenset({"pool"}), urgencies_by_service={"pool": urgencies}
    )
    return SimpleNamespace(
        service="pool", configuration=configuration, has_sought_path=has_sought_path
    )


class ConfigurationTest(_EndedStreamTest):
    async def test_request_of_an_older_configuration_does_not_restore_it(self):
        """Guards against shares that alternate while answers begun before run."""
        self.start_service(SimpleNamespace(open=self.open), slack=0.0)
        older = _make_state((0, 1), has_sought_path=False)
        self.service._find_waiting(older, _ENGINE)
        newer = _make_state((0, 1, 2), has_sought_path=False)
        waiting = self.service._find_waiting(newer, _ENGINE)
        older.has_sought_path = True
        self.assertIs(self.service._find_waiting(older, _ENGINE), waiting)
        now = self.read_clock()
        late = WaitingRequest(
            key="a", urgency=1, arrived_at=now - 5.0, objective_s=1.0, is_started=False
        )
        # Late requests of the lowest class only are limited without other demand.
        self.assertEqual(waiting.find_kv_share(late, now=now), 1.0)
