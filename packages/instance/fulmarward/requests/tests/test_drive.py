import asyncio
import unittest

from hypothesis import given, strategies as st

from fulmarward.requests._drive import ChainRun, StageCalls, StageLost, run_position
from fulmarward.targets import (
    StepDone,
    StepRefused,
    StepRequest,
    StreamBroken,
    StreamUnknown,
)
from fulmarward_core.streams import Stage
from fulmarward_standins.engine import answer_tokens
from fulmarward_standins.engine._steps import (
    StepRefusal,
    StepState,
    claim_attempt,
    close_attempt,
    describe_steps,
    run_step,
)
from fulmarward_standins.harness import find_ledger_faults

_STAGES = tuple(
    Stage(target=f"t{first}", layers=(first, first + 8)) for first in (0, 8, 16)
)
_PROMPT = "cast [4 tokens]"

#: Possible outcomes of a call, drawn by the property test.
_CALL_OUTCOMES = [
    "done",
    "done",
    "done",
    "lost",
    "lost_reply",
    "late",
    "restart",
    "refused",
]


class _FaultyStages:
    """The stand-in's step state behind calls that fail as drawn."""

    def __init__(self, call_outcomes):
        self.call_outcomes = iter(call_outcomes)
        self.states = {stage.target: StepState(ledger=[]) for stage in _STAGES}
        self.late = []

    async def run_step(self, stage, step_request):
        call_outcome = next(self.call_outcomes, "done")
        await asyncio.sleep(0)
        if call_outcome == "lost":
            return StreamBroken(detail="lost")
        if call_outcome == "refused":
            return StepRefused(error="ClientConnectorError", is_unreachable=True)
        if call_outcome == "late":
            self.late.append((stage, step_request))
            return StreamBroken(detail="late")
        if call_outcome == "restart":
            ledger = self.states[stage.target].ledger
            self.states[stage.target] = StepState(ledger=ledger)
        outcome = self.run_without_faults(stage, step_request)
        return StreamBroken(detail="lost") if call_outcome == "lost_reply" else outcome

    def run_without_faults(self, stage, step_request):
        state = self.states[stage.target]
        result = run_step(state, vars(step_request))
        if isinstance(result, StepRefusal):
            return StepRefused(error=result.error)
        return StepDone(**describe_steps(state, result, step_request.position - 1)[0])

    async def read_steps(self, stage, after):
        call_outcome = next(self.call_outcomes, "done")
        await asyncio.sleep(0)
        if call_outcome in ("lost", "lost_reply"):
            return StreamBroken(detail="lost")
        state = self.states[stage.target]
        cache = state.caches.get(("r", 1, stage.layers[0]))
        if cache is None:
            return StreamUnknown()
        return tuple(StepDone(**item) for item in describe_steps(state, cache, after))


def _make_run(stages, term):
    def make_step_request(stage, position, value):
        return StepRequest(
            request="r",
            attempt=1,
            team="folha",
            term=term,
            model="anchovy",
            adapter=None,
            version=None,
            position=position,
            first_layer=stage.layers[0],
            last_layer=stage.layers[1] - 1,
            input=value,
            prompt=_PROMPT,
            max_tokens=100,
        )

    calls = StageCalls(run_step=stages.run_step, read_steps=stages.read_steps)
    return ChainRun(stages=_STAGES, calls=calls, make_step_request=make_step_request)


async def _attach(stages, term, first):
    """Take over the attempt of another driver once its last stage has a token."""
    while not first.done():
        found = await stages.read_steps(_STAGES[-1], -1)
        if isinstance(found, tuple) and found:
            texts = [step.text for step in found]
            if found[-1].end:
                return texts, None
            for state in stages.states.values():
                claim_attempt(state, ("r", 1), term)
            return await _drive(stages, term, texts, found[-1].output)
    return [], "no token to continue from"


async def _drive(stages, term, texts=(), value=None):
    run, texts = _make_run(stages, term), list(texts)
    for position in range(len(texts), 100):
        done = await run_position(run, position, value)
        if isinstance(done, StageLost):
            return texts, done
        texts.append(done.text)
        value = done.output
        if done.end:
            return texts, None
    raise AssertionError("expected the answer to end")


def _check_ledgers(test, stages):
    ledgers = {name: state.ledger for name, state in stages.states.items()}
    entries = {
        name: [vars(item) for item in ledger] for name, ledger in ledgers.items()
    }
    test.assertEqual(find_ledger_faults(entries), [])


class DriveTest(unittest.TestCase):
    @given(st.lists(st.sampled_from(_CALL_OUTCOMES), max_size=60), st.integers(0, 2))
    def test_no_layer_runs_twice_under_call_failures(self, call_outcomes, drivers):
        # Calls and replies are lost or arrive late, and stages restart without their
        # caches. Further drivers (the first was suspended and resumed) take over the
        # attempt at the position of its last stage, some with an equal term. Every
        # layer runs once per token, and each driver outputs a prefix of the right
        # answer, or all of it.
        stages = _FaultyStages(call_outcomes)

        async def drive_all():
            first = asyncio.ensure_future(_drive(stages, 0))
            later = [_attach(stages, term, first) for term in range(drivers)]
            return await asyncio.gather(first, *later)

        outcomes = asyncio.run(drive_all())
        for stage, step_request in stages.late:
            stages.run_without_faults(stage, step_request)
        _check_ledgers(self, stages)
        right = answer_tokens(_PROMPT, 100, 24)
        for texts, lost in outcomes:
            self.assertEqual(texts, right[: len(texts)])
            self.assertTrue(lost or len(texts) == len(right))

    def test_loss_reports_what_may_have_run_and_closed_attempts(self):
        # Only an attempt of which nothing can have run may be reported as not run. An
        # attempt that another driver closed must not be followed by a new one.
        cases = [
            (["refused"] * 9, "ClientConnectorError", False, False),
            (["lost"] * 9, "lost", True, False),
            (["done"] + ["refused", "lost"] * 9, "ClientConnectorError", True, False),
            (["done"], "closed", False, True),
        ]
        for call_outcomes, detail, may_have_run, is_closed in cases:
            with self.subTest(call_outcomes=call_outcomes):
                stages = _FaultyStages(call_outcomes)
                if is_closed:
                    close_attempt(stages.states["t0"], ("r", 1))
                _, lost = asyncio.run(_drive(stages, 0))
                self.assertEqual(lost.may_have_run, may_have_run)
                self.assertEqual(lost.is_closed, is_closed)
                self.assertIn(lost.detail, (detail, "no_cache"))
