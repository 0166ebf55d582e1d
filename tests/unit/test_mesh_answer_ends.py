"""Where an answer of a backend server ends, and to which request it belongs."""

from tests.standins.mesh import Answer, MeshTestCase, encode

ATTEMPTS = 12


class AnswerEndTest(MeshTestCase):
    """Answers that end too soon or come once more, on kept connections."""

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        self.node = await self.start("store")
        await self.wait_for_members(1)
        self.backend = self.backends[0]

    async def order(self, request_id: str) -> Answer:
        """Sends a non-idempotent request."""
        request = encode("/order/", request_id, "POST", b"body")
        return await self.send_request(self.node, request)

    async def assert_refusals_are_true(self) -> None:
        """Checks that no order that the server runs is answered as not run."""
        self.backend.repeats_refusals = True
        for number in range(ATTEMPTS):
            fault = self.backend.fault = self.shed_fault if number % 3 == 0 else ""
            answer = await self.order(f"o{number}")
            runs = self.backend.runs[f"o{number}"]
            self.assertEqual(runs, 0 if fault else 1)
            self.assertEqual(answer.status, 503 if fault else 200, f"o{number}")

    # MIXED: an answer cut inside its head reached the client as a whole 200 with an empty body.
    async def test_answer_cut_inside_its_head_is_not_an_answer(self):
        self.backend.fault = "cut_head"
        answer = await self.order("cut")
        self.assertEqual(answer.status, 502)
        self.assertEqual(self.backend.runs["cut"], 1)

    # REFUSED: a refusal without an identifier, written again, answered the next order, which ran.
    async def test_repeated_refusal_without_an_identifier_refuses_no_later_order(self):
        self.shed_fault = "shed_unnamed"
        await self.assert_refusals_are_true()

    # REFUSED: the same with a refusal that names the earlier order.
    async def test_repeated_refusal_of_an_earlier_order_refuses_no_later_one(self):
        self.shed_fault = "shed"
        await self.assert_refusals_are_true()

    # REFUSED: an order sent again where it was refused must not be answered by the old refusal.
    async def test_order_is_not_sent_again_on_a_connection_that_refused_it(self):
        self.backend.fault = "shed"
        self.assertEqual((await self.order("again")).status, 503)
        self.backend.fault = ""
        self.backend.repeats_refusals = True
        answer = await self.order("again")
        self.assertEqual(self.backend.runs["again"], 1)
        self.assertEqual(answer.status, 200)
