import unittest

from hypothesis import given, strategies as st

from fulmarward_core.streams import (
    Locator,
    Stage,
    TextDigest,
    digest_texts,
    make_event_id,
    open_locator,
    parse_event_id,
    seal_locator,
)

_SECRET = b"secret"
_LOCATOR = Locator(
    request="r1",
    attempt=2,
    stages=(
        Stage(target="t1", layers=(0, 12)),
        Stage(target="t2", layers=(12, 24)),
    ),
    pipeline="lookup",
    epoch=7,
    deadline_at=12.5,
)


class LocatorTest(unittest.TestCase):
    def test_sealed_locator_opens_only_for_its_team(self):
        sealed = seal_locator(_LOCATOR, team="folha", secret=_SECRET)
        opened = open_locator(sealed, team="folha", secret=_SECRET)
        self.assertEqual(opened, _LOCATOR)
        self.assertIsNone(open_locator(sealed, team="istat", secret=_SECRET))
        self.assertIsNone(open_locator(sealed, team="folha", secret=b"other"))

    @given(st.integers(min_value=0), st.characters(codec="ascii"))
    def test_changed_locator_does_not_open(self, position, character):
        sealed = seal_locator(_LOCATOR, team="folha", secret=_SECRET)
        position %= len(sealed)
        changed = sealed[:position] + character + sealed[position + 1 :]
        opened = open_locator(changed, team="folha", secret=_SECRET)
        # The last base64 character has unused bits, so a different character may decode
        # to the same bytes: the result is the same locator or nothing.
        self.assertIn(opened, (None, _LOCATOR))

    @given(st.text())
    def test_any_text_is_refused_without_an_error(self, text):
        self.assertIsNone(open_locator(text, team="folha", secret=_SECRET))

    def test_event_ids_are_parsed(self):
        cases = [
            (make_event_id("abc", 4), ("abc", 4, "")),
            (make_event_id("abc", 4, "1f"), ("abc", 4, "1f")),
            ("~1f.4", None),
            ("abc", None),
            (".4", None),
            ("abc.", None),
            ("abc.-1", None),
            ("abc.99999999999", None),
        ]
        for event_id, expected in cases:
            with self.subTest(event_id=event_id):
                event = parse_event_id(event_id)
                found = event and (event.sealed, event.number, event.digest)
                self.assertEqual(found, expected)

    @given(st.lists(st.text()), st.lists(st.text()))
    def test_digests_are_equal_only_for_equal_texts(self, first, second):
        state = TextDigest()
        digests = [state.add(text) for text in first]
        self.assertEqual(digests[-1:], [digest_texts(first)][: len(digests)])
        is_equal = digest_texts(first) == digest_texts(second)
        self.assertEqual(is_equal, first == second)
