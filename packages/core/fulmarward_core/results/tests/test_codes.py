import unittest
from pathlib import Path

from fulmarward_core.results import CODES, ExecutionState, ResultCode, render_codes_page

_PAGE = Path(__file__).parents[5] / "docs" / "RESULT-CODES.md"


class CodesTest(unittest.TestCase):
    def test_every_code_has_an_entry(self):
        self.assertEqual(set(CODES), set(ResultCode))

    def test_page_matches_the_table(self):
        self.assertEqual(_PAGE.read_text(), render_codes_page())

    def test_caller_codes_from_3000_never_report_not_run(self):
        for code, entry in CODES.items():
            with self.subTest(code=code.name):
                if 3000 <= code < 5000:
                    self.assertIsNot(entry.ran, ExecutionState.NOT_RUN)

    def test_exit_statuses_are_valid(self):
        for code, entry in CODES.items():
            with self.subTest(code=code.name):
                self.assertEqual(entry.exit_status == 0, code is ResultCode.OK)
                self.assertLess(entry.exit_status, 126)
