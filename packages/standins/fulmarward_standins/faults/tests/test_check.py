import unittest

from fulmarward_standins.faults import Ending, Told, check_told


def _begin(work, request="r1", attempt=1):
    return {"work": work, "request": request, "attempt": attempt}


def _run(first, last, position=0, request="r1", attempt=1):
    return {
        "request": request,
        "attempt": attempt,
        "position": position,
        "first_layer": first,
        "last_layer": last,
        "event": "ran",
    }


def _tell(ending, answer="", idempotent=False):
    return Told(
        kind="x",
        work="w",
        idempotent=idempotent,
        expected="abc",
        ending=ending,
        answer=answer,
    )


class CheckToldTest(unittest.TestCase):
    def test_each_broken_promise_is_counted(self):
        whole = _tell(Ending.WHOLE, "abc")
        cases = [
            ([whole], [_begin("w"), _run(0, 7), _run(8, 23)], (0, 0, 0, 0)),
            ([whole], [_begin("w"), _begin("w", request="r2")], (1, 0, 0, 0)),
            ([whole], [_begin("w"), _begin("w", attempt=2)], (1, 0, 0, 0)),
            (
                [_tell(Ending.WHOLE, "abc", idempotent=True)],
                [_begin("w"), _begin("w", attempt=2)],
                (0, 0, 0, 0),
            ),
            ([_tell(Ending.NOT_RUN)], [], (0, 0, 0, 0)),
            ([_tell(Ending.NOT_RUN)], [_begin("w")], (0, 1, 0, 0)),
            ([_tell(Ending.UNKNOWN)], [_begin("w")], (0, 0, 0, 0)),
            ([_tell(Ending.WHOLE, "ab")], [_begin("w")], (0, 0, 1, 0)),
            ([], [_run(0, 7), _run(0, 7)], (0, 0, 0, 8)),
            ([], [_run(0, 7), _run(16, 23)], (0, 0, 0, 1)),
        ]
        for told, lines, expected in cases:
            with self.subTest(told=told, lines=lines):
                verdict = check_told(told, lines)
                found = (
                    verdict.run_twice,
                    verdict.wrongly_not_run,
                    verdict.wrong_answers,
                    verdict.wrong_layers,
                )
                self.assertEqual(found, expected)
                self.assertEqual(verdict.is_right, not any(expected))
