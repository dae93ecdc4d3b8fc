import unittest

from fulmarward_core.isolation import Contact, ContactEvent, ContactTable

_NO_ANSWER, _ANSWER, _SERVED = (
    ContactEvent.NO_ANSWER,
    ContactEvent.ANSWER,
    ContactEvent.SERVED_BY_PEER,
)


class ContactTableTest(unittest.TestCase):
    def test_states_after_events(self):
        cases = [
            # events, the contact after them
            ([], Contact.REACHED),
            ([_ANSWER], Contact.REACHED),
            ([_SERVED], Contact.REACHED),
            ([_NO_ANSWER], Contact.UNREACHED),
            ([_NO_ANSWER, _NO_ANSWER], Contact.UNREACHED),
            ([_NO_ANSWER, _ANSWER], Contact.REACHED),
            ([_NO_ANSWER, _SERVED], Contact.ISOLATED),
            ([_NO_ANSWER, _SERVED, _NO_ANSWER], Contact.ISOLATED),
            ([_NO_ANSWER, _SERVED, _ANSWER], Contact.REACHED),
        ]
        for events, expected in cases:
            with self.subTest(events=events):
                table = ContactTable()
                for number, event in enumerate(events):
                    table.apply("pool", event, now=100.0 + number)
                self.assertIs(table.find("pool"), expected)
                self.assertEqual(table.is_reached("pool"), expected is Contact.REACHED)
                self.assertEqual(table.is_isolated, expected is Contact.ISOLATED)

    def test_service_that_is_down_for_all_isolates_no_instance(self):
        """Guards against instances that leave the lookup when a service is down."""
        table = ContactTable()
        table.apply("pool", _NO_ANSWER, now=100.0)
        self.assertFalse(table.is_isolated)
        self.assertTrue(table.is_reached("plain"))

    def test_time_without_contact_counts_from_the_first_missing_answer(self):
        table = ContactTable()
        table.apply("pool", _NO_ANSWER, now=100.0)
        table.apply("pool", _SERVED, now=101.0)
        self.assertEqual(table.list_unreached()["pool"].since, 100.0)
