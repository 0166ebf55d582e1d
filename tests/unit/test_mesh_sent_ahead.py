"""Where a caller's requests end on a connection, and that each one is read."""

from asyncio import StreamReader, StreamWriter, wait_for

from tests.standins.mesh import Answer, MeshTestCase, encode, read_answer

OFFER = {"Connection": "Upgrade, HTTP2-Settings", "Upgrade": "h2c", "HTTP2-Settings": "AAMAAABk"}
SENT_AHEAD = 100


class SentAheadTest(MeshTestCase):
    """Requests that follow others on a connection."""

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        self.node = await self.start("store", slots=200)
        await self.wait_for_members(1)
        self.backend = self.backends[0]

    async def caller(self) -> tuple[StreamReader, StreamWriter]:
        """Opens a connection."""
        return await self.connect(self.node)

    async def answer(self, reader: StreamReader) -> Answer:
        """Returns the next answer."""
        return await wait_for(read_answer(reader), 3.0)

    # MIXED: an offer of HTTP/2 was answered twice, and the 400 answered the order behind it.
    async def test_offer_of_another_protocol_is_answered_once(self):
        reader, writer = await self.caller()
        writer.write(encode("/read/", "offer", **OFFER))
        self.assertEqual((await self.answer(reader)).status, 200)
        writer.write(encode("/order/", "order", "POST", b"body"))
        answer = await self.answer(reader)
        self.assertEqual((answer.status, answer.headers["request-id"]), (200, "order"))

    async def test_bytes_behind_an_offer_are_the_next_request(self):
        """Guards against bytes that are lost with the offer, whatever the way they are cut."""
        offer = encode("/read/", "o", **OFFER)
        order = encode("/order/", "p", "POST", b"body")
        both = offer + order
        for cut in (len(offer) - 1, len(offer), len(offer) + 1, len(both) - 2, len(both)):
            reader, writer = await self.caller()
            writer.write(both[:cut])
            await writer.drain()
            writer.write(both[cut:])
            for request_id in ("o", "p"):
                answer = await self.answer(reader)
                self.assertEqual((answer.status, answer.headers["request-id"]), (200, request_id))

    async def test_offer_with_a_body_is_forwarded_whole(self):
        """Guards against a body that is taken for the other protocol."""
        reader, writer = await self.caller()
        writer.write(encode("/order/", "o", "POST", b"a body", **OFFER))
        writer.write(encode("/order/", "p", "POST", b"more"))
        for request_id in ("o", "p"):
            answer = await self.answer(reader)
            self.assertEqual((answer.status, answer.headers["request-id"]), (200, request_id))
        self.assertEqual([message.body for message in self.backend.received], [b"a body", b"more"])
        self.assertNotIn("upgrade", self.backend.received[0].headers)

    async def test_offer_with_a_chunked_body_is_forwarded_whole_however_it_is_cut(self):
        """Guards against a chunk that is taken for the next request."""
        head = encode("/order/", "o", "POST", Transfer_Encoding="chunked", **OFFER)
        offer = head + b"6\r\na body\r\n0\r\n\r\n"
        for cut in range(len(head) - 3, len(offer) + 1):
            reader, writer = await self.caller()
            writer.write(offer[:cut])
            await writer.drain()
            writer.write(offer[cut:] + encode("/order/", "p", "POST", b"more"))
            for request_id in ("o", "p"):
                answer = await self.answer(reader)
                self.assertEqual((answer.status, answer.headers["request-id"]), (200, request_id))
        bodies = {message.body for message in self.backend.received}
        self.assertEqual(bodies, {b"a body", b"more"})

    # CONFIG: a connection on which 100 requests were sent ahead was never read again.
    async def test_connection_is_read_again_after_many_requests_sent_ahead(self):
        reader, writer = await self.caller()
        for again in range(3):
            self.backend.released.clear()
            self.backend.held = {f"r{again}-0"}
            requests = [encode("/read/", f"r{again}-{n}") for n in range(SENT_AHEAD)]
            writer.write(b"".join(requests))
            await self.wait_until(
                lambda count=again + 1: len(self.backend.runs) == count * SENT_AHEAD
            )
            # All but the first one are answered now.
            await self.wait_until(lambda: self.backend.running == 1)
            self.backend.released.set()
            for number in range(SENT_AHEAD):
                answer = await self.answer(reader)
                self.assertEqual(answer.headers["request-id"], f"r{again}-{number}")
        writer.write(encode("/order/", "order", "POST", b"body"))
        self.assertEqual((await self.answer(reader)).status, 200)
