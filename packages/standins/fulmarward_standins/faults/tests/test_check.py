import unittest

from fulmarward_standins.faults import Outcome, WorkRecord, check_records


def _make_start_line(work, request="r1", attempt=1):
    return {"work": work, "request": request, "attempt": attempt}


def _make_ran_line(first, last, position=0, request="r1", attempt=1):
    return {
        "request": request,
        "attempt": attempt,
        "position": position,
        "first_layer": first,
        "last_layer": last,
        "event": "ran",
    }


def _make_record(outcome, answer="", idempotent=False):
    return WorkRecord(
        kind="x",
        work="w",
        idempotent=idempotent,
        expected="abc",
        outcome=outcome,
        answer=answer,
    )


class CheckRecordsTest(unittest.TestCase):
    def test_each_violated_guarantee_is_counted(self):
        whole = _make_record(Outcome.WHOLE, "abc")
        cases = [
            (
                [whole],
                [_make_start_line("w"), _make_ran_line(0, 7), _make_ran_line(8, 23)],
                (0, 0, 0, 0),
            ),
            (
                [whole],
                [_make_start_line("w"), _make_start_line("w", request="r2")],
                (1, 0, 0, 0),
            ),
            (
                [whole],
                [_make_start_line("w"), _make_start_line("w", attempt=2)],
                (1, 0, 0, 0),
            ),
            (
                [_make_record(Outcome.WHOLE, "abc", idempotent=True)],
                [_make_start_line("w"), _make_start_line("w", attempt=2)],
                (0, 0, 0, 0),
            ),
            ([_make_record(Outcome.NOT_RUN)], [], (0, 0, 0, 0)),
            ([_make_record(Outcome.NOT_RUN)], [_make_start_line("w")], (0, 1, 0, 0)),
            ([_make_record(Outcome.UNKNOWN)], [_make_start_line("w")], (0, 0, 0, 0)),
            (
                [_make_record(Outcome.WHOLE, "ab")],
                [_make_start_line("w")],
                (0, 0, 1, 0),
            ),
            ([], [_make_ran_line(0, 7), _make_ran_line(0, 7)], (0, 0, 0, 8)),
            ([], [_make_ran_line(0, 7), _make_ran_line(16, 23)], (0, 0, 0, 1)),
        ]
        for records, lines, expected in cases:
            with self.subTest(records=records, lines=lines):
                verdict = check_records(records, lines)
                found = (
                    verdict.run_twice,
                    verdict.wrongly_not_run,
                    verdict.wrong_answers,
                    verdict.wrong_layers,
                )
                self.assertEqual(found, expected)
                self.assertEqual(verdict.is_right, not any(expected))
