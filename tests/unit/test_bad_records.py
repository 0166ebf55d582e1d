"""Records in the store that another writer left there: each costs that record only."""

from asyncio import create_task, get_running_loop, sleep
from typing import Any
from unittest import TestCase
from unittest.mock import patch

from hypothesis import given
from hypothesis import strategies as st
from orjson import Fragment, JSONDecodeError, dumps, loads

from coltsfoottrack._internal.mesh.exceptions import StoreError
from coltsfoottrack._internal.mesh.json_parts import split_array, split_object
from coltsfoottrack._internal.mesh.model import Member
from coltsfoottrack._internal.mesh.store_watch import apply_member_changes
from coltsfoottrack.platform.names import MEMBER_KIND
from coltsfoottrack.platform.store import ObjectStore
from tests.standins.backend import post
from tests.standins.mesh import MeshTestCase, configuration

DEPTH = 3000
BEYOND_64_BITS = Fragment(b"18446744073709551616")
# Contents that no JSON parser of the project reads.
UNREADABLE = {
    "deep": b"[" * DEPTH + b"]" * DEPTH,
    "deep-object": b'{"a":' * DEPTH + b"1" + b"}" * DEPTH,
    "too-large": b'{"node":"too-large","epoch":1e400}',
    "digits": b'{"node":"digits","epoch":1' + b"0" * 400 + b"}",
    "surrogate": b'{"node":"\\ud800"}',
    "bytes": b'{"node":"\xff\xfe"}',
}
# Values that a record may not have.
UNUSABLE = {
    "epoch": (-1, 2**64 - 1, BEYOND_64_BITS, 1.5, "1"),
    "serial": (-1, 2**32, 2**63),
    "slots": (-5, 2**32),
    "cold_ms": (2**32, 2**63),
    "report_number": (2**64 - 1,),
    "backend_started_ms": (-1, 2**64 - 1),
    "address": ("10.0.0.1:99999", "10.0.0.1:0", "10.0.0.1:-1", "10.0.0.1", ":80", "h:port", ""),
}


def usable_record(node: str) -> dict[str, Any]:
    """Returns the content of a record that a node could have written."""
    return Member(node, "127.0.0.1:9", "east", "stock", "i-x", 1, 1, epoch=1)._asdict()


class BadRecordsTest(MeshTestCase):
    """The other records and the configuration are read."""

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        self.client = ObjectStore(self.store.address)
        # Errors that ended a task of a node.
        self.problems: list[dict[str, Any]] = []
        get_running_loop().set_exception_handler(lambda _, found: self.problems.append(found))

    def put_bad_records(self) -> int:
        """Stores all bad records; returns their number."""
        for name, content in UNREADABLE.items():
            self.store.put(MEMBER_KIND, name, Fragment(content))
        number = len(UNREADABLE)
        for field, values in UNUSABLE.items():
            for index, value in enumerate(values):
                name = f"{field}-{index}"
                self.store.put(MEMBER_KIND, name, {**usable_record(name), field: value})
                number += 1
        return number

    # LOST: machines that read a list with an odd entry ended, or stopped following it.
    async def test_a_list_with_bad_records_tells_the_others(self):
        self.store.put(MEMBER_KIND, "first", usable_record("first"))
        number = self.put_bad_records()
        self.store.put(MEMBER_KIND, "last", usable_record("last"))
        found = await self.client.list_members()
        self.assertEqual(len(found.changes), number + 2)
        readable = [change.node for change in found.changes if change.member is not None]
        self.assertEqual(readable, ["first", "last"])

    # The same in a watch.
    async def test_a_watch_with_bad_records_tells_the_others(self):
        revision = self.store.revision
        number = self.put_bad_records()
        self.store.put(MEMBER_KIND, "last", usable_record("last"))
        found = await self.client.watch_members(revision)
        self.assertEqual(len(found.changes), number + 1)
        readable = [change.node for change in found.changes if change.member is not None]
        self.assertEqual(readable, ["last"])
        self.assertEqual(found.revision, self.store.revision)

    # CONFIG: an odd object beside the configuration hid every later version.
    async def test_configuration_beside_bad_objects_is_read(self):
        revision = self.store.revision
        for name, content in UNREADABLE.items():
            self.store.put("config", name, Fragment(content))
        self.store.put("config", "main", configuration(2))
        for change in (
            await self.client.read_configuration(),
            await self.client.watch_configuration(revision),
        ):
            self.assertEqual(loads(change.content)["version"], 2)

    async def test_names_of_any_kind_continue_a_list(self):
        """Guards against a list that ends, or never does, at a name with special characters."""
        name = "a&b c/?#%\r\nX: y"
        self.store.page_size = 1
        for node in (name, "last"):
            self.store.put(MEMBER_KIND, node, usable_record(node))
        found = await self.client.list_members()
        self.assertEqual({change.node for change in found.changes}, {name, "last"})

    async def test_objects_without_a_name_are_left_out(self):
        """Guards against an entry whose name or revision cannot be used."""
        for index, metadata in enumerate((None, [], {}, {"name": 5}, {"name": "n"}, "n")):
            self.store.objects[(MEMBER_KIND, f"o{index}")] = {"metadata": metadata, "spec": {}}
        self.store.objects[(MEMBER_KIND, "none")] = None
        self.store.put(MEMBER_KIND, "last", usable_record("last"))
        found = await self.client.list_members()
        self.assertEqual([change.node for change in found.changes], ["last"])

    async def test_page_without_a_list_is_an_error_of_the_store(self):
        """Guards against an error that ends the task which follows the store."""
        for entries in (None, 5, {}, "text"):
            with patch.object(self.store, "_page", lambda *call, e=entries: {"items": e}):
                for read in (self.client.list_members, self.client.read_configuration):
                    with self.assertRaises(StoreError):
                        await read()

    async def test_unreadable_record_is_logged_once_for_each_version(self):
        """Guards against a line for each read of the list."""
        node = await self.start("store")
        self.put_bad_records()
        for _ in range(2):
            changes = (await self.client.list_members()).changes
            apply_member_changes(node.membership.members, changes, "list")
        bad = [change for change in changes if change.member is None]
        self.assertEqual(node.log.counts["member_unreadable"], len(bad))

    # LOST: nodes end, or their tasks do, when such records are there before or come later.
    async def test_nodes_find_each_other_beside_bad_records(self):
        self.put_bad_records()
        await self.start("front", "portal")
        await self.start("store")
        await self.wait_for_members(2)
        self.put_bad_records()
        await self.start("other")
        await self.wait_for_members(3)
        self.store.put("config", "main", configuration(7))
        await self.wait_until(lambda: all(n.active_configuration.version == 7 for n in self.nodes))
        await sleep(0.3)
        self.assertEqual(self.problems, [])

    # LOST: a record of the node itself with an absurd epoch, which it must not adopt.
    async def test_odd_record_under_a_nodes_own_name_does_not_stop_it(self):
        for index, epoch in enumerate((2**53, 2**53 - 1, 2**63)):
            record = {**usable_record(f"n{index}"), "epoch": epoch}
            self.store.put(MEMBER_KIND, f"n{index}", record)
            await self.start(f"n{index}")
        await self.wait_for_members(3)
        await sleep(0.3)
        self.assertEqual(self.problems, [])

    async def test_numbers_of_reports_are_bounded(self):
        """Guards against a report that no message can carry, or that hides all later ones."""
        node = await self.start("store")
        backend = self.backends[0]
        address = node.settings.report_address
        for change in (
            {"born": 2**63},
            {"born": 2**53},
            {"seq": 2**64 - 1},
            {"seq": 2**63},
            {"slots": BEYOND_64_BITS},
            {"coldMs": 2**64 - 1},
        ):
            self.assertEqual(await backend.report(address, **change), 400, change)
        self.assertEqual(await backend.report(address, coldMs=2**40, slots=2**40), 200)
        path = f"/api/instances/{backend.identifier}/heartbeat"
        for body in UNREADABLE.values():
            self.assertEqual(await post(address, path, body), 400)
        self.assertEqual(await backend.report(address), 200)
        self.assertTrue(node.backend.accepting)
        self.assertEqual(self.problems, [])

    async def test_port_out_of_range_fails_a_connection_only(self):
        """Guards against a link that never connects again."""
        node = await self.start("store")
        node.links.contact("127.0.0.1:99999")
        task = create_task(sleep(0.1))
        await task
        self.assertEqual(self.problems, [])
        self.assertIsNone(node.links.contacts["127.0.0.1:99999"].task)


class JsonPartsTest(TestCase):
    """Splitting agrees with the parser on every text that the parser reads."""

    values = st.recursive(
        st.none() | st.booleans() | st.integers(-(2**53), 2**53) | st.text(),
        lambda inner: st.lists(inner, max_size=4) | st.dictionaries(st.text(), inner, max_size=4),
        max_leaves=20,
    )

    @given(st.lists(values, max_size=5))
    def test_array(self, expected):
        """Guards against a comma or bracket in a string that splits an element."""
        parts = split_array(dumps(expected))
        self.assertEqual([loads(part) for part in parts], expected)

    @given(st.dictionaries(st.text(), values, max_size=5))
    def test_object(self, expected):
        """Guards against a name or value that is cut."""
        parts = split_object(b" " + dumps(expected) + b" ")
        self.assertEqual({name: loads(part) for name, part in parts.items()}, expected)

    @given(st.binary(max_size=60))
    def test_any_bytes(self, text):
        """Guards against an error on bytes that are no JSON."""
        for start in (b"[", b"{"):
            for split in (split_array, split_object):
                try:
                    loads(start + text)
                except JSONDecodeError:
                    pass
                self.assertIsNotNone(split(start + text))
