import unittest
from types import SimpleNamespace

from msgspec.structs import replace

from fulmarward_router.mesh import RetryLoanAnswer, RetryLoanRequest
from fulmarward_router.mesh._loans import MAX_RELAYS, LoanExchange

_REQUEST = RetryLoanRequest(
    borrower="peer", boot=5, number=7, service="s", count=2, is_relayed=False
)


def _make_answer(count, *, is_relayed, borrower="peer"):
    return RetryLoanAnswer(
        borrower=borrower, boot=5, number=7, count=count, is_relayed=is_relayed
    )


class LoanExchangeTest(unittest.TestCase):
    def setUp(self):
        self.lent = 0
        self.is_hub = True
        self.sent, self.handled, self.denied = [], [], set()
        self.exchange = LoanExchange(
            loans=SimpleNamespace(
                lend=lambda request: _make_answer(
                    self.lent, is_relayed=request.is_relayed
                ),
                handle_answer=self.handled.append,
                choose_lender=lambda service, lenders: min(
                    set(lenders) - self.denied, default=None
                ),
                record_denied=lambda service, lender, is_relayed: self.denied.add(
                    lender
                ),
                record_granted=lambda service, lender: self.denied.discard(lender),
            ),
            list_links=lambda: [
                SimpleNamespace(connection=name, address=f"{name}:1")
                for name in ("peer", "b", "c", "d", "e", "f")
            ],
            is_hub=lambda: self.is_hub,
            send=lambda connection, message: self.sent.append((connection, message)),
        )

    def test_request_is_answered_where_it_arrives(self):
        """Guards against a request that is relayed without end or without need."""
        cases = [
            # lent, is hub, is relayed
            (2, True, False),
            (0, False, False),
            (0, True, True),
        ]
        for lent, is_hub, is_relayed in cases:
            with self.subTest(lent=lent, is_hub=is_hub, is_relayed=is_relayed):
                self.sent.clear()
                self.lent, self.is_hub = lent, is_hub
                request = replace(_REQUEST, is_relayed=is_relayed)
                self.exchange.handle_request(request, "peer")
                answer = _make_answer(lent, is_relayed=is_relayed)
                self.assertEqual(self.sent, [("peer", answer)])

    def test_hub_without_a_retry_asks_others_one_after_another(self):
        """Guards against instances that reach the unused retries of hubs alone."""
        self.exchange.handle_request(_REQUEST, "peer")
        self.exchange.handle_request(_REQUEST, "peer")
        self.assertEqual(len(self.sent), 1)
        self.exchange.handle_answer(_make_answer(0, is_relayed=True))
        asked = [connection for connection, _ in self.sent]
        self.assertEqual(len(set(asked)), 2)
        self.assertNotIn("peer", asked)
        self.assertTrue(all(request.is_relayed for _, request in self.sent))
        answer = _make_answer(2, is_relayed=True)
        self.exchange.handle_answer(answer)
        self.assertEqual(self.sent[2:], [("peer", answer)])
        self.assertEqual(self.denied, {f"{asked[0]}:1"})
        self.exchange.handle_answer(answer)
        self.assertEqual(len(self.sent), 3)

    def test_hub_does_not_wait_for_a_silent_peer_twice(self):
        """Guards against a silent instance that is asked for each borrower."""
        for number in (1, 2):
            request = replace(_REQUEST, number=number)
            self.exchange.handle_request(request, "peer")
        asked = [connection for connection, _ in self.sent]
        self.assertEqual(len(set(asked)), 2)

    def test_hub_asks_few(self):
        """Guards against a request that goes to all instances."""
        self.exchange.handle_request(_REQUEST, "peer")
        for _ in range(MAX_RELAYS):
            self.exchange.handle_answer(_make_answer(0, is_relayed=True))
        self.assertEqual(len(self.sent), MAX_RELAYS + 1)
        self.assertEqual(self.sent[-1], ("peer", _make_answer(0, is_relayed=True)))

    def test_answer_to_the_own_request_is_handled(self):
        """Guards against own answers that are taken for those of a relayed request."""
        self.exchange.handle_request(_REQUEST, "peer")
        answer = _make_answer(1, is_relayed=False, borrower="own")
        self.exchange.handle_answer(answer)
        self.assertEqual(self.handled, [answer])
