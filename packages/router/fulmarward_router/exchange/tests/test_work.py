import unittest

from fulmarward_core.routes import Route, RouteKind, RoutingConfiguration
from fulmarward_router.exchange import Work


def _make_work():
    route = Route(
        name="r",
        host="h",
        prefix="/",
        kind=RouteKind.STREAM,
        timeout_s=20.0,
        objective_s=0.5,
        pause_s=0.25,
        priority=5,
        shares=(),
        most_attempts=2,
        is_public=False,
        is_resumable=True,
    )
    return Work(
        request=None,
        headers={},
        body=b"",
        facts=None,
        configuration=RoutingConfiguration,
        route=route,
        team=None,
        service="s",
        urgency=5,
        arrived_at=0.0,
        deadline=20.0,
    )


class PauseTest(unittest.TestCase):
    def test_pause_over_a_lost_target_is_told_whole(self):
        # A target of the path is killed. The stream stands still for 0.2 s, is led
        # around it and goes on 0.3 s later. The log told of 0.3 s, since the clock
        # began anew with the other path, and an answer that came late looked sound.
        work = _make_work()
        for now in (1.0, 1.04, 1.08, 1.58, 1.62):
            work.note_given(now=now)
        self.assertAlmostEqual(work.longest_pause_s, 0.5)
        self.assertEqual((work.answered_at, work.given_at), (1.0, 1.62))
