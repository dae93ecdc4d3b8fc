import unittest
from dataclasses import replace

from hypothesis import given, strategies as st

from fulmarward_core.placement import (
    ActionKind,
    DesiredState,
    EngineState,
    Outcomes,
    ReportedState,
    Rollout,
    RolloutPhase,
    add_outcomes,
    advance_rollout,
    can_serve,
    has_soaked,
    has_whole_chain,
    leaves_whole_chain,
    needs_load,
    plan_actions,
)
from fulmarward_core.placement.decisions import (
    MAX_CONCURRENT_LOADS,
    MIN_FAILURES_TO_STOP,
    SETTLE_S,
    SOAK_ATTEMPTS,
    SOAK_S,
)

_VERSIONS = ("v1", "v2")
_NO_OUTCOMES = Outcomes(version="v2", tries=0, failures=0)


def _make_engine(name, *, version="v1", layers=(0, 24), model="m", **changes):
    wanted = DesiredState(
        model="m", version="v2", layers=layers, adapters=("a",), role="serving"
    )
    state = replace(wanted, version=version, model=model)
    engine = EngineState(
        name=name,
        wanted=wanted,
        held=ReportedState(state=state, fencing=1, is_loading=False),
        load=0,
        is_leaving=False,
        is_draining=False,
        is_drain_settled=False,
        is_asserted=True,
        is_ordered=False,
    )
    return replace(engine, **changes)


def _plan(engines, phase=RolloutPhase.RUNNING, may_take_next=True):
    rollout = Rollout(version="v2", phase=phase, changed_at=0.0)
    actions = plan_actions(
        engines,
        layers=24,
        versions=_VERSIONS,
        rollout=rollout,
        may_take_next=may_take_next,
    )
    return [(action.kind.value, action.target, action.reason) for action in actions]


def _load(engine):
    """Return the engine while it loads its desired state."""
    held = replace(engine.held, is_loading=True)
    return replace(engine, held=held, is_asserted=True)


def _finish(engine):
    return replace(
        engine,
        held=ReportedState(state=engine.wanted, fencing=1, is_loading=False),
        load=0,
    )


def _apply(engines, actions):
    for action in actions:
        engine = engines[action.target]
        if action.kind is ActionKind.ORDER:
            changed = _load(engine) if needs_load(engine) else _finish(engine)
            engine = replace(changed, is_asserted=True)
        else:
            is_drain = action.kind is ActionKind.DRAIN
            engine = replace(engine, is_draining=is_drain, is_drain_settled=False)
        engines[action.target] = engine


_ENGINES = st.tuples(
    st.sampled_from([(0, 24), (0, 24), (0, 12), (12, 24)]),
    st.sampled_from(["v1", "v1", "v2", "v0"]),
    st.sampled_from(["m", "m", "m", "other"]),
)


class PlanTest(unittest.TestCase):
    @given(st.lists(_ENGINES, min_size=1, max_size=7), st.data())
    def test_rollout_never_removes_the_last_complete_chain(self, kinds, data):
        # Engines are changed to a new version one by one, with random interleavings of
        # loads, drains and their ends. A pipeline that is served at the start must be
        # served at every step. At the end every engine that can be changed without
        # leaving the pipeline unserved holds the new version.
        engines = {
            f"e{n}": _make_engine(f"e{n}", layers=layers, version=version, model=model)
            for n, (layers, version, model) in enumerate(kinds)
        }

        def is_served():
            return leaves_whole_chain(
                engines.values(), "", layers=24, versions=_VERSIONS
            )

        was_served = is_served()
        rollout = Rollout(version="v2", phase=RolloutPhase.RUNNING, changed_at=0.0)
        for _ in range(12 * len(engines)):
            actions = plan_actions(
                list(engines.values()),
                layers=24,
                versions=_VERSIONS,
                rollout=rollout,
                may_take_next=True,
            )
            _apply(engines, actions)
            loading = [name for name, e in engines.items() if e.held.is_loading]
            self.assertLessEqual(len(loading), MAX_CONCURRENT_LOADS)
            if was_served:
                self.assertTrue(is_served(), engines)
            if loading and data.draw(st.booleans()):
                engines[loading[0]] = _finish(engines[loading[0]])
            for name, engine in engines.items():
                settled = engine.is_draining and data.draw(st.booleans())
                engines[name] = replace(engine, is_drain_settled=settled)
        for name in [name for name, e in engines.items() if e.held.is_loading]:
            engines[name] = _finish(engines[name])
        behind = [name for name, e in engines.items() if needs_load(e)]
        for name in behind:
            is_free = leaves_whole_chain(
                engines.values(), name, layers=24, versions=_VERSIONS
            )
            is_in_progress = any(engine.is_draining for engine in engines.values())
            self.assertTrue(not is_free or is_in_progress, engines)

    def test_planned_actions(self):
        old, new = _make_engine("e1"), _make_engine("e2", version="v2")
        drained = _make_engine("e1", is_draining=True, is_drain_settled=True)
        other = _make_engine("e1", model="other")
        without_adapters = replace(new.held.state, adapters=())
        cases = [
            ("drain the next", [old, new], [("drain", "e1", "rollout")]),
            ("keep the last one", [old], []),
            ("skip a leaving engine", [replace(old, is_leaving=True), new], []),
            (
                "wait while requests run",
                [replace(drained, load=1), new],
                [],
            ),
            ("load once it is idle", [drained, new], [("order", "e1", "drained")]),
            (
                "load empty engines immediately",
                [other, new],
                [("order", "e1", "empty")],
            ),
            (
                "adapters need no drain",
                [replace(new, held=replace(new.held, state=without_adapters))],
                [("order", "e2", "differs")],
            ),
            (
                "first order of a new holder",
                [replace(new, is_asserted=False)],
                [("order", "e2", "assert")],
            ),
            (
                "accept new work again",
                [replace(new, is_draining=True)],
                [("open", "e2", "as_wanted")],
            ),
            ("skip an engine that does not answer", [replace(old, held=None)], []),
        ]
        for name, engines, expected in cases:
            with self.subTest(name):
                self.assertEqual(_plan(engines), expected)

    def test_stopped_rollout_changes_no_more_targets(self):
        drained = _make_engine("e1", is_draining=True, is_drain_settled=True)
        new = _make_engine("e2", version="v2")
        planned = _plan([drained, new], phase=RolloutPhase.STOPPED, may_take_next=False)
        self.assertEqual(planned, [("open", "e1", "stopped")])


class RolloutTest(unittest.TestCase):
    def _advance(self, engines, new, old, phase=RolloutPhase.RUNNING):
        rollout = Rollout(version="v2", phase=phase, changed_at=0.0)
        return advance_rollout(
            rollout, engines, layers=24, versions=_VERSIONS, new=new, old=old
        ).phase

    def test_rollout_stops_when_the_new_version_fails_more_often(self):
        # If a new version breaks every second answer, the failures of the first target
        # must stop the rollout before it reaches all callers.
        engines = [_make_engine("e1"), _make_engine("e2", version="v2")]
        cases = [
            (MIN_FAILURES_TO_STOP, 10, 0, 100, RolloutPhase.STOPPED),
            (MIN_FAILURES_TO_STOP - 1, 8, 0, 100, RolloutPhase.RUNNING),
            (30, 100, 28, 100, RolloutPhase.RUNNING),
            (30, 100, 5, 100, RolloutPhase.STOPPED),
            (0, 100, 0, 0, RolloutPhase.RUNNING),
        ]
        for failures, tries, old_failures, old_tries, expected in cases:
            with self.subTest(failures=failures, old_failures=old_failures):
                counts = [
                    Outcomes(version="v2", tries=tries, failures=failures),
                    Outcomes(version="v1", tries=old_tries, failures=old_failures),
                ]
                new, old = add_outcomes(counts, "v2")
                self.assertEqual(self._advance(engines, new, old), expected)

    def test_failing_version_holds_the_rollout_until_its_rate_recovers(self):
        # The first target of a new version fails, and routing avoids it after one or
        # two requests. Without further attempts the ten seconds pass, and the rollout
        # would continue with the next target.
        engines = [_make_engine("e1"), _make_engine("e2", version="v2")]
        rollout = Rollout(version="v2", phase=RolloutPhase.RUNNING, changed_at=0.0)
        old = Outcomes(version="v1", tries=500, failures=0)
        cases = [(2, 2, False), (0, 0, False), (20, 1, True)]
        for tries, failures, expected in cases:
            new = Outcomes(version="v2", tries=tries, failures=failures)
            rollout = advance_rollout(
                rollout, engines, layers=24, versions=_VERSIONS, new=new, old=old
            )
            is_soaked = has_soaked(rollout, engines, new, now=10 * SOAK_S)
            self.assertEqual(is_soaked, expected, (tries, failures))

    def test_phases(self):
        old, new = _make_engine("e1"), _make_engine("e2", version="v2")
        cases = [
            ([old], RolloutPhase.BLOCKED),
            ([old, new], RolloutPhase.RUNNING),
            ([new], RolloutPhase.DONE),
            ([replace(old, is_leaving=True), new], RolloutPhase.DONE),
        ]
        for engines, expected in cases:
            with self.subTest(expected=expected):
                self.assertEqual(
                    self._advance(engines, _NO_OUTCOMES, _NO_OUTCOMES), expected
                )
        stopped = self._advance([new], _NO_OUTCOMES, _NO_OUTCOMES, RolloutPhase.STOPPED)
        self.assertEqual(stopped, RolloutPhase.STOPPED)

    def test_next_target_is_changed_only_after_the_last_one_has_served(self):
        rollout = Rollout(version="v2", phase=RolloutPhase.RUNNING, changed_at=0.0)
        enough = replace(_NO_OUTCOMES, tries=SOAK_ATTEMPTS)
        cases = [
            (enough, SETTLE_S / 2, False),
            (enough, SETTLE_S, True),
            (_NO_OUTCOMES, SETTLE_S, False),
            (_NO_OUTCOMES, SOAK_S, True),
        ]
        engines = [_make_engine("e1"), _make_engine("e2", version="v2")]
        for new, now, expected in cases:
            is_soaked = has_soaked(rollout, engines, new, now=now)
            self.assertEqual(is_soaked, expected)
        self.assertTrue(has_soaked(rollout, engines[:1], _NO_OUTCOMES, now=0.0))

    def test_chains_have_neither_gap_nor_overlap(self):
        cases = [
            ([(0, 24)], True),
            ([(12, 24), (0, 12)], True),
            ([(0, 12), (13, 24)], False),
            ([(0, 14), (12, 24)], False),
            ([], False),
        ]
        for ranges, expected in cases:
            self.assertEqual(has_whole_chain(ranges, 24), expected, ranges)

    def test_only_targets_with_the_right_state_can_serve(self):
        engine = _make_engine("e1")
        loading = replace(engine.held, is_loading=True)
        cases = [
            (None, None, True),
            (engine.held, None, True),
            (engine.held, "a", True),
            (engine.held, "b", False),
            (loading, None, False),
            (_make_engine("e1", version="v9").held, None, False),
            (_make_engine("e1", model="other").held, None, False),
            (_make_engine("e1", layers=(0, 12)).held, None, False),
        ]
        for held, adapter, expected in cases:
            is_able = can_serve(
                held, model="m", versions=_VERSIONS, adapter=adapter, layers=(0, 24)
            )
            self.assertEqual(is_able, expected, (held, adapter))
