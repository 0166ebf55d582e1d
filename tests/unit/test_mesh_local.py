"""A mesh without a platform, whose nodes share a directory."""

from asyncio import sleep
from pathlib import Path
from shutil import rmtree
from tempfile import mkdtemp
from unittest import IsolatedAsyncioTestCase, TestCase
from unittest.mock import patch

from yaml import safe_dump

from coltsfoottrack._internal.mesh.daemon import MeshNode
from coltsfoottrack._internal.mesh.decisions import DecisionLog, LineWriter
from coltsfoottrack._internal.mesh.exceptions import ReportError, StoreConflictError
from coltsfoottrack._internal.mesh.model import BackendLeave, CallerLimits, Member
from coltsfoottrack._internal.mesh_local.adapter import local_adapter
from coltsfoottrack._internal.mesh_local.directory_store import DirectoryStore
from coltsfoottrack._internal.mesh_local.reports import read_report
from coltsfoottrack._internal.mesh_local.routes import RoutesError, decode_routes
from coltsfoottrack._internal.mesh_local.settings import read_settings
from tests.standins.backend import LocalBackend
from tests.standins.mesh import MeshTestCase, free_address

READ = {
    "name": "read",
    "host": "shop.example",
    "prefix": "/read/",
    "services": [{"service": "stock"}],
    "idempotent": True,
    "timeout_ms": 3000,
    "priority": 2,
}
ORDER = {**READ, "name": "order", "prefix": "/order/", "idempotent": False, "priority": 0}
REPORT = (
    b'{"service": "stock", "address": "10.0.0.1:80", "failure_domain": "east", "slots": 4,'
    b' "draining": false, "cold_ms": 0, "number": 3, "started_ms": 7}'
)


def routes_text(version: int = 1, *routes: dict[str, object], **more: object) -> bytes:
    """Returns the content of a routes file."""
    return safe_dump({"version": version, "routes": list(routes or (READ, ORDER)), **more}).encode()


class RoutesTest(TestCase):
    """Guards against routes that are misread or invalid routes that are accepted."""

    def test_defaults_ranks_and_limits(self):
        found = decode_routes(routes_text(4, limits={"max_body_bytes": 10}))
        self.assertEqual(found.version, 4)
        read, order = found.routes
        self.assertEqual((read.rank, order.rank), (1, 0))
        self.assertEqual((read.target_latency_ms, read.max_attempts), (3000, 2))
        self.assertTrue(read.idempotent)
        self.assertEqual(found.limits, CallerLimits()._replace(max_body_bytes=10))

    def test_weights(self):
        shares = [{"service": "a", "weight": 3}, {"service": "b"}]
        route = decode_routes(routes_text(1, {**READ, "services": shares})).routes[0]
        self.assertEqual(route.services, (("a", 3), ("b", 1)))

    def test_customers(self):
        """Guards against routes without customers that need keys, and against lost fields."""
        self.assertIsNone(decode_routes(routes_text()).customers)
        entry = {"name": "a", "keys": ["k"], "priority": 2, "rate_per_s": 1.5, "burst": 3}
        found = decode_routes(routes_text(1, {**READ, "public": True}, ORDER, customers=[entry]))
        self.assertEqual(found.customers, (("a", (b"k",), 2, 1.5, 3.0),))
        self.assertEqual([route.public for route in found.routes], [True, False])

    def test_errors_name_the_problem(self):
        customers = [{"name": "a", "keys": ["k"]}, {"name": "b", "keys": ["k"]}]
        for content, problem in (
            (routes_text(1, {**READ, "prefix": "read"}), "begin and end with a slash"),
            (routes_text(1, READ, READ), "given twice"),
            (routes_text(1, READ, {**READ, "name": "other"}), "those of another route"),
            (routes_text(1, {**READ, "timeout_ms": 0}), "timeout_ms"),
            (routes_text(1, {**READ, "retries": 2}), "unknown field"),
            (routes_text(0), "version"),
            (routes_text(customers=customers), "share a key"),
            (routes_text(customers=customers[:1] * 2), "given twice"),
            (routes_text(customers=[{"name": "a", "burst": -1}]), "burst"),
            (b"version: [", "not valid YAML"),
            (b"\xff", "utf-8"),
        ):
            with self.subTest(problem=problem), self.assertRaisesRegex(RoutesError, problem):
                decode_routes(content)

    def test_text_for_the_log_quotes_nothing_of_the_file(self):
        """Guards against keys of customers in the log."""
        content = b"version: 1\ncustomers:\n- name: a\n  keys: [*secret]\n"
        with self.assertRaises(RoutesError) as caught:
            decode_routes(content)
        self.assertIn("secret", str(caught.exception))
        self.assertNotIn("secret", caught.exception.log_text)


class ExamplesTest(TestCase):
    """Guards against examples that the loader refuses."""

    def test_examples_are_valid(self):
        examples = Path(__file__).resolve().parents[2] / "examples" / "mesh"
        self.assertEqual(read_settings(str(examples / "node.yaml")).node, "stock-1")
        found = decode_routes((examples / "routes.yaml").read_bytes())
        self.assertEqual([route.rank for route in found.routes], [1, 0])


class ReportsTest(TestCase):
    """Guards against malformed reports that are accepted."""

    def test_report_and_leave(self):
        report = read_report("POST", "/backends/i-1/report", REPORT)
        self.assertEqual((report.backend, report.slots, report.number), ("i-1", 4, 3))
        self.assertEqual(read_report("POST", "/backends/i-1/leave", b""), BackendLeave("i-1", None))

    def test_invalid_calls_are_refused(self):
        for method, path, body in (
            ("GET", "/backends/i-1/report", REPORT),
            ("POST", "/backends//report", REPORT),
            ("POST", "/backends/i-1/stop", REPORT),
            ("POST", "/i-1/report", REPORT),
            ("POST", "/backends/i-1/report", b"{"),
            ("POST", "/backends/i-1/report", b"[]"),
            ("POST", "/backends/i-1/report", REPORT.replace(b"4", b"-4")),
            ("POST", "/backends/i-1/report", REPORT.replace(b"4", b"true")),
            ("POST", "/backends/i-1/report", REPORT.replace(b'"slots": 4,', b"")),
        ):
            with self.subTest(path=path, body=body), self.assertRaises(ReportError):
                read_report(method, path, body)


class DirectoryStoreTest(IsolatedAsyncioTestCase):
    """Guards against missed changes, and stale writes that overwrite newer records."""

    def setUp(self):
        self.directory = Path(mkdtemp())
        self.addCleanup(rmtree, self.directory)
        self.store = DirectoryStore(str(self.directory))
        patcher = patch(
            "coltsfoottrack._internal.mesh_local.directory_store.WATCH_TIMEOUT_SECONDS", 0.5
        )
        patcher.start()
        self.addCleanup(patcher.stop)

    def member(self, **changes: object) -> Member:
        """Returns a member record."""
        return Member("n1", "127.0.0.1:1", "east", "stock", **changes)

    async def test_member_changes_are_returned_once(self):
        revision = await self.store.create_member(self.member())
        other = DirectoryStore(str(self.directory))
        listed = await other.list_members()
        self.assertEqual([change.member for change in listed.changes], [self.member()])
        self.assertEqual((await other.watch_members(listed.revision)).changes, [])
        revision = await self.store.replace_member(self.member(serial=2), revision)
        changed = await other.watch_members(listed.revision)
        self.assertEqual(changed.changes[0].member.serial, 2)
        await self.store.delete_member("n1", revision)
        removed = await other.watch_members(changed.revision)
        self.assertEqual([change.deleted for change in removed.changes], [True])
        self.assertIsNone(await other.read_member("n1"))

    async def test_writes_are_conditional(self):
        revision = await self.store.create_member(self.member())
        for write in (
            self.store.create_member(self.member()),
            self.store.replace_member(self.member(), revision + 1),
            self.store.delete_member("n1", revision + 1),
        ):
            with self.assertRaises(StoreConflictError):
                await write
        self.assertIsNotNone(await self.store.read_member("n1"))

    async def test_malformed_record_is_not_a_member(self):
        (self.directory / "members").mkdir()
        (self.directory / "members" / "n9").write_bytes(b"\xff\xff")
        listed = await self.store.list_members()
        self.assertEqual([change.member for change in listed.changes], [None])

    async def test_routes_file_is_read_when_created_or_changed(self):
        self.assertIsNone((await self.store.read_configuration()).content)
        routes = self.directory / "routes.yaml"
        routes.write_bytes(b"first")
        found = await self.store.read_configuration()
        self.assertEqual(found.content, b"first")
        self.assertIsNone((await self.store.watch_configuration(found.revision)).content)
        routes.unlink()
        routes.write_bytes(b"second")
        changed = await self.store.watch_configuration(found.revision)
        self.assertEqual(changed.content, b"second")


class LocalMeshTest(MeshTestCase):
    """Two nodes with their backend servers, configured by YAML files only."""

    async def asyncSetUp(self):
        await super().asyncSetUp()
        self.directory = Path(mkdtemp())
        self.addCleanup(rmtree, self.directory)

    async def start_local(self, name: str, service: str) -> MeshNode:
        """Starts a node from a settings file, with its backend server."""
        backend = LocalBackend(f"i-{name}", service)
        await backend.open()
        self.backends.append(backend)
        path = self.directory / f"{name}.yaml"
        fields = {"name": name, "service": service, "failure_domain": "east"}
        fields["shared_directory"] = str(self.directory / "shared")
        for address in ("caller", "link", "ready", "report"):
            fields[f"{address}_address"] = free_address()
        fields["backend_address"] = backend.address
        path.write_text(safe_dump(fields), encoding="utf-8")
        adapter = local_adapter(str(path))
        settings = adapter.read_settings()
        node = MeshNode(settings, adapter, DecisionLog(name, LineWriter(self.null)))
        self.nodes.append(node)
        await node.start()
        await backend.report(settings.report_address)
        return node

    async def test_requests_are_served_and_changed_routes_are_applied(self):
        """Guards against a node that needs a platform or does not apply changed routes."""
        routes = self.directory / "shared" / "routes.yaml"
        routes.parent.mkdir()
        routes.write_bytes(routes_text(1, READ))
        front = await self.start_local("front", "portal")
        await self.start_local("store", "stock")
        await self.wait_for_members(2)
        request = b"%s HTTP/1.1\r\nHost: shop.example\r\nCall-Id: q1\r\n\r\n"
        answer = await self.send_request(front, request % b"GET /read/1")
        self.assertEqual((answer.status, answer.body), (200, b"i-store GET /read/1"))
        self.assertEqual(answer.headers["backend-answer"], "seal-q1")
        self.assertEqual((await self.send_request(front, request % b"POST /order/1")).status, 404)
        routes.write_bytes(routes_text(2))
        await self.wait_until(lambda: front.active_configuration.version == 2)
        self.assertEqual((await self.send_request(front, request % b"POST /order/1")).status, 200)

    async def test_member_whose_file_was_removed_is_no_longer_chosen(self):
        """Guards against requests to a node that an operator has removed by hand."""
        front = await self.start_local("front", "portal")
        await self.start_local("store", "stock")
        await self.wait_until(lambda: "store" in front.directory.peers)
        path = self.directory / "shared" / "members" / "store"
        await self.wait_until(path.exists)
        front.membership.watch.start()
        await self.wait_until(
            lambda: front.membership.watch.following or front.membership.watch.started
        )
        await sleep(0.5)
        path.unlink()
        await self.wait_until(lambda: front.directory.peers["store"].member.left)

    async def test_settings_errors_name_file_and_field(self):
        path = self.directory / "bad.yaml"
        for text, problem in (
            ("name: x", "bad.yaml:1: service: missing"),
            ("nam: x", "unknown field"),
        ):
            path.write_text(text, encoding="utf-8")
            with self.subTest(text=text), self.assertRaisesRegex(ValueError, problem):
                read_settings(str(path))
        await self.start_local("front", "portal")
        good = (self.directory / "front.yaml").read_text(encoding="utf-8")
        path.write_text(good.replace("caller_address: 127.0.0.1:", "caller_address: x"))
        with self.assertRaisesRegex(ValueError, "caller_address.*is not IP:PORT"):
            read_settings(str(path))
