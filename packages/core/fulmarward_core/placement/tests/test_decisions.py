import unittest
from dataclasses import replace

from hypothesis import given, strategies as st

from fulmarward_core.placement import (
    ActionKind,
    EngineState,
    Held,
    Outcomes,
    Rollout,
    RolloutPhase,
    Wanted,
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
    ENOUGH_TRIES,
    MOST_LOADS,
    SETTLE_S,
    SOAK_S,
    STOP_FAILURES,
)

_VERSIONS = ("v1", "v2")
_NONE = Outcomes(version="v2", tries=0, failures=0)


def _make_engine(name, *, version="v1", layers=(0, 24), model="m", **changes):
    wanted = Wanted(
        model="m", version="v2", layers=layers, adapters=("a",), role="serving"
    )
    state = replace(wanted, version=version, model=model)
    engine = EngineState(
        name=name,
        wanted=wanted,
        held=Held(state=state, fencing=1, is_loading=False),
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
    """Return an engine that has begun to load what it shall hold."""
    held = replace(engine.held, is_loading=True)
    return replace(engine, held=held, is_asserted=True)


def _finish(engine):
    return replace(
        engine, held=Held(state=engine.wanted, fencing=1, is_loading=False), load=0
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
    def test_a_rollout_never_takes_the_last_whole_chain_away(self, kinds, data):
        # A new version is declared. Engines are changed one by one, in an order of
        # loads, drains and ends that nobody can foresee. A pipeline that was served
        # at the start has to be served at each moment, and all that can be changed
        # without leaving it unserved holds the new version at the end.
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
            self.assertLessEqual(len(loading), MOST_LOADS)
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
            is_under_way = any(engine.is_draining for engine in engines.values())
            self.assertTrue(not is_free or is_under_way, engines)

    def test_what_is_planned(self):
        old, new = _make_engine("e1"), _make_engine("e2", version="v2")
        drained = _make_engine("e1", is_draining=True, is_drain_settled=True)
        other = _make_engine("e1", model="other")
        bare = replace(new.held.state, adapters=())
        cases = [
            ("drain the next", [old, new], [("drain", "e1", "rollout")]),
            ("the last one stays", [old], []),
            ("a leaving one is left alone", [replace(old, is_leaving=True), new], []),
            (
                "wait while it runs requests",
                [replace(drained, load=1), new],
                [],
            ),
            ("then load", [drained, new], [("order", "e1", "drained")]),
            ("empty ones load at once", [other, new], [("order", "e1", "empty")]),
            (
                "adapters need no drain",
                [replace(new, held=replace(new.held, state=bare))],
                [("order", "e2", "differs")],
            ),
            (
                "a new holder asserts",
                [replace(new, is_asserted=False)],
                [("order", "e2", "assert")],
            ),
            (
                "take new work again",
                [replace(new, is_draining=True)],
                [("open", "e2", "as_wanted")],
            ),
            ("nothing for one that does not answer", [replace(old, held=None)], []),
        ]
        for name, engines, expected in cases:
            with self.subTest(name):
                self.assertEqual(_plan(engines), expected)

    def test_a_stopped_rollout_changes_nothing_more(self):
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

    def test_it_stops_when_the_new_version_fails_more_often(self):
        # A new version breaks one answer in two. The rollout goes on, target by
        # target, until all callers get it; the failures of the first target said so.
        engines = [_make_engine("e1"), _make_engine("e2", version="v2")]
        cases = [
            (STOP_FAILURES, 10, 0, 100, RolloutPhase.STOPPED),
            (STOP_FAILURES - 1, 8, 0, 100, RolloutPhase.RUNNING),
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

    def test_one_failure_holds_the_rollout_until_a_success(self):
        # The first target of a new version fails, and routing sets it aside after a
        # request or two. Nothing more is heard of it, ten seconds pass, and the
        # rollout takes the next target.
        engines = [_make_engine("e1"), _make_engine("e2", version="v2")]
        rollout = Rollout(version="v2", phase=RolloutPhase.RUNNING, changed_at=0.0)
        old = Outcomes(version="v1", tries=500, failures=0)
        cases = [(2, 2, False), (0, 0, False), (20, 1, True)]
        for tries, failures, expected in cases:
            new = Outcomes(version="v2", tries=tries, failures=failures)
            rollout = advance_rollout(
                rollout, engines, layers=24, versions=_VERSIONS, new=new, old=old
            )
            has = has_soaked(rollout, engines, new, now=10 * SOAK_S)
            self.assertEqual(has, expected, (tries, failures))

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
                self.assertEqual(self._advance(engines, _NONE, _NONE), expected)
        stopped = self._advance([new], _NONE, _NONE, RolloutPhase.STOPPED)
        self.assertEqual(stopped, RolloutPhase.STOPPED)

    def test_the_next_target_waits_until_the_last_one_has_served(self):
        rollout = Rollout(version="v2", phase=RolloutPhase.RUNNING, changed_at=0.0)
        enough = replace(_NONE, tries=ENOUGH_TRIES)
        cases = [
            (enough, SETTLE_S / 2, False),
            (enough, SETTLE_S, True),
            (_NONE, SETTLE_S, False),
            (_NONE, SOAK_S, True),
        ]
        engines = [_make_engine("e1"), _make_engine("e2", version="v2")]
        for new, now, expected in cases:
            has = has_soaked(rollout, engines, new, now=now)
            self.assertEqual(has, expected)
        self.assertTrue(has_soaked(rollout, engines[:1], _NONE, now=0.0))

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

    def test_only_what_holds_the_model_can_serve(self):
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
            can = can_serve(
                held, model="m", versions=_VERSIONS, adapter=adapter, layers=(0, 24)
            )
            self.assertEqual(can, expected, (held, adapter))
