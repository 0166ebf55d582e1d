"""Tests when a caller of the load generator may use a new key, and when it must not."""

from collections.abc import Awaitable, Callable
from random import Random
from unittest import IsolatedAsyncioTestCase

from coltsfoottrack._internal.calls.context import IDEMPOTENCY_KEY, answer_headers
from coltsfoottrack._internal.calls.outcome import Answer, Outcome, Reason, refused, unknown
from coltsfoottrack._internal.experiment.sending import RequestSender
from coltsfoottrack._internal.routing.exceptions import ConnectionLostError
from coltsfoottrack._internal.routing.http_connection import HttpReply

LOST = ConnectionLostError("broken")
HOME_GONE = unknown(Reason.HOME_GONE, copy_dispatched=False)
DONE = Answer(Outcome.DONE)


class ScriptedTransport:
    """Passes the headers of each copy to the test."""

    def __init__(self, copy: Callable[[dict[str, str]], Awaitable[HttpReply]]) -> None:
        self.copy = copy

    async def send(
        self, _method: str, _entry: str, _path: str, headers: dict[str, str], *_rest: object
    ) -> HttpReply:
        """Answers one copy."""
        return await self.copy(headers)


class SendingTest(IsolatedAsyncioTestCase):
    """Guards against a second key while a copy under the first one may still run."""

    async def send(self, *script: Answer | Exception) -> tuple[Answer, list[str]]:
        """Returns the answer and the keys that were sent; each script entry answers one copy."""
        self.script = list(script)
        self.keys: list[str] = []
        self.sender = RequestSender(
            ScriptedTransport(self.copy), ["a", "b"], Random(1), idempotent=False
        )
        answer = await self.sender.send("a", "/", "r", b"", 10.0, 10.0)
        return answer, self.keys

    async def copy(self, headers: dict[str, str]) -> HttpReply:
        key = headers.get(IDEMPOTENCY_KEY, "")
        self.keys.append(key)
        step = self.script.pop(0)
        if isinstance(step, Exception):
            raise step
        if not key:
            step = refused(Reason.KEY_REQUIRED)._replace(next_key=f"key-{len(self.keys)}")
        return HttpReply(step.status, answer_headers(step, 0), b"")

    async def test_new_key_when_no_copy_was_dispatched(self) -> None:
        answer, keys = await self.send(DONE, HOME_GONE, DONE, DONE)
        self.assertEqual((answer.outcome, keys), (Outcome.DONE, ["", "key-1", "", "key-3"]))

    async def test_key_is_kept_if_a_copy_may_have_run(self) -> None:
        answer, keys = await self.send(DONE, LOST, HOME_GONE)
        self.assertEqual((answer.outcome, keys), (Outcome.UNKNOWN, ["", "key-1", "key-1"]))
        self.assertTrue(self.sender.may_have_run)
        answer, keys = await self.send(DONE, unknown(Reason.HOME_GONE))
        self.assertEqual((answer.outcome, keys), (Outcome.UNKNOWN, ["", "key-1"]))

    async def test_connection_lost_before_a_key_was_sent(self) -> None:
        answer, keys = await self.send(LOST, DONE, DONE)
        self.assertEqual((answer.outcome, keys), (Outcome.DONE, ["", "", "key-2"]))
