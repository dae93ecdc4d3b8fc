import unittest
from pathlib import Path

from fulmarward_core.results import CODES, Ran, ResultCode, render_codes_page

_PAGE = Path(__file__).parents[5] / "docs" / "RESULT-CODES.md"


class CodesTest(unittest.TestCase):
    def test_every_code_has_an_entry(self):
        self.assertEqual(set(CODES), set(ResultCode))

    def test_page_is_what_the_table_renders(self):
        self.assertEqual(_PAGE.read_text(), render_codes_page())

    def test_only_codes_below_3000_say_not_run_to_callers(self):
        for code, entry in CODES.items():
            with self.subTest(code=code.name):
                if 3000 <= code < 5000:
                    self.assertIsNot(entry.ran, Ran.NOT_RUN)

    def test_exit_statuses_fit_a_process(self):
        for code, entry in CODES.items():
            with self.subTest(code=code.name):
                self.assertEqual(entry.exit_status == 0, code is ResultCode.OK)
                self.assertLess(entry.exit_status, 126)
