"""Customers: configuration, keys, ranks, quotas and attribution, without a network."""

from collections import Counter
from unittest import TestCase
from unittest.mock import Mock, patch

from orjson import dumps

from coltsfoottrack._internal.decision_log.explanation import explain_request
from coltsfoottrack._internal.decision_log.lines import LogLine
from coltsfoottrack._internal.mesh.caller_connection import CallerConnection
from coltsfoottrack._internal.mesh.caller_group import CallerGroup
from coltsfoottrack._internal.mesh.caller_request import CallerRequest
from coltsfoottrack._internal.mesh.customers.credentials import MAX_AUTHORIZATION_BYTES, read_key
from coltsfoottrack._internal.mesh.customers.customer_metrics import OTHERS, labelled_answers
from coltsfoottrack._internal.mesh.directory import Directory
from coltsfoottrack._internal.mesh.entry import Entry
from coltsfoottrack._internal.mesh.entry_gate import Refusal
from coltsfoottrack._internal.mesh.exceptions import MeshError
from coltsfoottrack._internal.mesh.levels import MIN_ADMITTED_SHARE, Admission
from coltsfoottrack._internal.mesh.memory_account import MemoryAccount
from coltsfoottrack._internal.mesh.model import CallerLimits, Member
from coltsfoottrack._internal.mesh.parent_requests import ParentRequests, RunningRequest
from coltsfoottrack._internal.mesh.routes import RouteTable
from coltsfoottrack._internal.mesh.shared_rate.terms import TokenWait
from coltsfoottrack._internal.mesh.statistics import MeshStatistics
from coltsfoottrack._internal.schema.links_pb2 import RESULT_ANSWERED, RESULT_NOT_RUN, Reply
from coltsfoottrack.platform.configuration import decode_configuration
from coltsfoottrack.platform.names import HEADERS, parent_identifier
from tests.standins.mesh import configuration

KEY = b"maj3nr26tta828m82thh"
TENANTS = {
    "gold": {"apiKeys": ["goldkey"], "priority": 0},
    "pulo780": {
        "apiKeys": [KEY.decode(), "kmgj qnir"],
        "priority": 1,
        "ratePerS": 32.5,
        "burst": 7,
    },
    "plain": {"apiKeys": ["plainkey"]},
}
ROUTES = {
    "order": {"pathPrefix": "/order/", "service": "stock", "priority": 0, "type": "unsafe"},
    "read": {"pathPrefix": "/read/", "service": "stock", "priority": 2},
    "open": {"pathPrefix": "/open/", "service": "stock", "priority": 1, "public": True},
}


def decode(tenants, version=1):
    """Returns a decoded configuration."""
    return decode_configuration(dumps({**configuration(version, **ROUTES), "tenants": tenants}))


class ConfigurationTest(TestCase):
    """Tenants in the operator's configuration."""

    def test_fields_of_tenants(self):
        """Guards against refusing a valid configuration, which would stop all service."""
        customers = {customer.name: customer for customer in decode(TENANTS).customers}
        self.assertEqual(customers["pulo780"][1:], ((KEY, b"kmgj qnir"), 1, 32.5, 7.0))
        self.assertEqual(customers["plain"][1:], ((b"plainkey",), None, 0.0, 0.0))
        self.assertIsNone(decode(None).customers)
        self.assertEqual(decode({}).customers, ())
        empty = {"a": {}, "b": {"apiKeys": [], "ratePerS": None}, "c": {"apiKeys": ["x", "x"]}}
        self.assertEqual(len(decode(empty).customers), 3)

    def test_invalid_tenants_raise_errors_without_keys(self):
        """Guards against an invalid version in force, and against keys in the log of its error."""
        for tenants in (
            {"a": {"apiKeys": ["secret"]}, "b": {"apiKeys": ["secret"]}},
            {"a": {"apiKeys": ["secret"], "ratePerS": -1}},
            {"a": {"apiKeys": ["secret"], "burst": -0.1}},
            {"a": {"priority": "secret"}},
            {"": {"apiKeys": ["secret"]}},
            {" ": {"apiKeys": ["secret"]}},
            {"a\r\nX: y": {"apiKeys": ["secret"]}},
            {"a": {"apiKeys": ["secret", 5]}},
            {"a": {"apiKeys": [None]}},
            {"a": {"apiKeys": "secret"}},
            {"a": "secret"},
            ["secret"],
        ):
            with self.subTest(tenants=tenants), self.assertRaises(MeshError) as caught:
                decode(tenants)
            self.assertNotIn("secret", str(caught.exception))


class RankTest(TestCase):
    """Ranks by the priorities of customers and routes."""

    def ranks(self, tenants):
        """Returns the rank by customer and route, and the number of ranks."""
        table = RouteTable(decode(tenants))
        found = {}
        for route in table.configuration.routes:
            for name, customer in (*table.customers.by_name.items(), ("", None)):
                found[(name, route.name)] = table.customers.ranks.rank(route, customer)
        return found, table.top_rank + 1

    def test_priority_of_the_customer_goes_first(self):
        """Guards against an important customer that is shed before others, and unused ranks."""
        found, count = self.ranks(TENANTS)
        self.assertEqual(count, 5)
        for name in ("gold", "plain", ""):
            of_customer = [found[(name, route)] for route in ("order", "open", "read")]
            self.assertEqual(of_customer, [0, 1, 2])
        of_customer = [found[("pulo780", route)] for route in ("order", "open", "read")]
        self.assertEqual(of_customer, [3, 4, 4])

    def test_ranks_without_different_customers_are_those_of_the_routes(self):
        """Guards against other ranks in a deployment that does not use customers' priorities."""
        self.assertEqual(self.ranks({"a": {"apiKeys": ["k"], "priority": 7}})[1], 3)
        self.assertEqual(self.ranks({})[1], 3)
        self.assertEqual(RouteTable(decode(None)).top_rank + 1, 3)

    def test_each_rank_of_a_route_gets_its_share(self):
        """Guards against a rank that starves beside a more important one of the same route.

        Load: one important request for each less important one, at a level that sheds both. Their
        shares add up to 1, so a common credit would always go to the same rank.
        """
        admission = Admission()
        admitted = Counter()
        for number in range(2000):
            rank = 3 + number % 2
            admitted[rank] += admission.admit("read", rank, 4.0 - MIN_ADMITTED_SHARE)
        self.assertAlmostEqual(admitted[3], 1000 * (1.0 - MIN_ADMITTED_SHARE), delta=1)
        self.assertAlmostEqual(admitted[4], 1000 * MIN_ADMITTED_SHARE, delta=1)


class ConnectionTest(TestCase):
    """Headers about customers, as read from a caller's connection."""

    def setUp(self):
        self.requests = []
        self.handler = Mock(headers=HEADERS, caller_header=b"", requires_id=True)
        self.handler.limits.return_value = CallerLimits()
        self.handler.handle = self.requests.append
        self.connection = CallerConnection(self.handler, CallerGroup(MemoryAccount(), lambda: 9))
        self.connection.connection_made(Mock())

    def receive(self, lines, customers=True, trailers=b""):
        """Returns the request with additional header lines."""
        head = b"POST /read/ HTTP/1.1\r\nHost: shop.example\r\nRequest-Id: r1\r\n" + lines
        self.handler.drops_customer_headers.return_value = not customers
        self.connection.data_received(head + b"Transfer-Encoding: chunked\r\n\r\n")
        # The configuration changes before the request is complete.
        self.handler.drops_customer_headers.return_value = customers
        self.connection.data_received(b"1\r\nx\r\n0\r\n" + trailers + b"\r\n")
        return self.requests[-1]

    def test_forms_of_the_header(self):
        """Guards against valid keys that are refused, and invalid values that are accepted."""
        table = RouteTable(decode(TENANTS)).customers
        huge = b"Authorization: Bearer " + b"x" * 9000 + b"\r\n"
        line = b"Authorization: Bearer " + KEY + b"\r\n"
        for lines, trailers, name in (
            (line, b"", "pulo780"),
            (b"AUTHORIZATION:  bEARER   " + KEY + b" \r\n", b"", "pulo780"),
            (b"Authorization: Bearer kmgj qnir\r\n", b"", "pulo780"),
            (line.replace(b"Bearer", b"Basic"), b"", None),
            (b"Authorization: " + KEY + b"\r\n", b"", None),
            (line.replace(b"maj", b"MAJ"), b"", None),
            (line + line, b"", None),
            (line + b"Authorization:\r\n", b"", None),
            (b"Authorization:\r\n" + line, b"", None),
            (b"Authorization:\r\n", b"", None),
            (b"Authorization: Bearer\r\n", b"", None),
            (b"Authorization: Bearer  \r\n", b"", None),
            (b"Authorization: Bearer\t" + KEY + b"\r\n", b"", None),
            (huge, b"", None),
            (b"", b"", None),
            (b"", line, None),
            (line, line, None),
        ):
            with self.subTest(lines=lines[:60], trailers=trailers):
                request = self.receive(lines, trailers=trailers)
                found = table.find(request.authorization)
                self.assertEqual(found.name if found else None, name)
                self.assertNotIn(b"authorization", request.head.lower())
        self.assertEqual(read_key(b"Bearer " + b"x" * MAX_AUTHORIZATION_BYTES), b"")

    def test_headers_are_dropped_only_while_there_are_customers(self):
        """Guards against forwarded keys, forged names, and headers lost without customers."""
        lines = b"A: 1\r\nTENANT: forged\r\nAuthorization: Bearer k\r\nB: 2\r\ntenant: second\r\n"
        head = self.receive(lines).head
        self.assertIn(b"Request-Id: r1\r\nA: 1\r\nB: 2\r\nContent-Length", head)
        self.assertIn(lines, self.receive(lines, customers=False).head)
        self.assertNotIn(b"forged", self.receive(b"", trailers=b"Tenant: forged\r\n").head)


class Tokens:
    """Quota with a fixed answer that keeps the names taken and given back."""

    def __init__(self):
        self.wait = None
        self.taken = []
        self.returned = []

    def try_take(self, name, now):
        """Takes a token."""
        self.taken.append(name)
        return self.wait

    def give_back(self, name):
        """Returns a token."""
        self.returned.append(name)


class EntryTest(TestCase):
    """Requests of customers at an entry whose links are replaced."""

    def setUp(self):
        member = Member("n", "127.0.0.1:1", "east", "stock", "i", accepting=True, slots=9, epoch=1)
        self.log = Mock(try_sample=lambda: False)
        self.parents = ParentRequests(parent_identifier)
        directory = Directory(member)
        # The level of the backend server admits all requests.
        self.runner = Mock(level=Mock(level=9.0))
        self.entry = Entry(
            HEADERS,
            directory,
            self.runner,
            self.parents,
            self.log,
            MeshStatistics(),
            CallerGroup(MemoryAccount(), lambda: 9),
        )
        self.entry.shared_rates = self.tokens = Tokens()
        self.sent = []
        self.links = self.entry.links = Mock()
        self.links.run_locally = lambda message, handler, body: self.sent.append(message)
        self.links.has_run_locally.return_value = False
        self.apply(TENANTS)

    def apply(self, tenants, version=1):
        """Puts a configuration in force."""
        self.entry.table = RouteTable(decode(tenants, version))

    def send(self, key, path="/read/", request_id=b"r1"):
        """Handles a request; returns it and the statuses with which it was answered."""
        request = CallerRequest(Mock())
        request.host, request.path, request.request_id = "shop.example", path, request_id
        request.authorization = None if key is None else b"Bearer " + key
        request.head = b"GET / HTTP/1.1\r\n"
        self.entry.handle(request)
        return request

    def status(self, request):
        """Returns status and header lines of an answer, None if there is none yet."""
        answers = request.connection.respond.call_args_list
        return answers[0].args[1:3] if answers else None

    def reply(self, result, reason="", status=0):
        """Replies to the last send."""
        number = self.sent[-1].number
        # The level admits all requests.
        reply = Reply(number=number, result=result, reason=reason, status=status, level=9000)
        self.entry.handle_reply(number, reply)

    def test_requests_without_a_known_key_are_refused(self):
        """Guards against requests of strangers, and against a 401 in place of a 404 or 503."""
        for key in (None, b"other", b""):
            self.assertEqual(self.status(self.send(key))[0], 401)
        self.assertEqual(self.status(self.send(None, "/none/"))[0], 404)
        self.assertEqual((self.sent, self.tokens.taken), ([], []))
        self.assertEqual(self.log.request.call_args_list[0].kwargs["configuration_version"], 1)
        self.entry.table = None
        self.assertEqual(self.status(self.send(None))[0], 503)

    def test_known_key_sets_customer_rank_and_header(self):
        """Guards against a request that runs for another customer or with another rank."""
        self.assertIsNone(self.status(self.send(KEY, "/order/")))
        message = self.sent[-1]
        self.assertEqual((message.customer, message.rank), ("pulo780", 3))
        self.assertTrue(message.head.endswith(b"tenant: pulo780\r\n"))
        self.assertEqual(self.tokens.taken, ["pulo780"])

    def test_less_important_customers_are_shed_first(self):
        """Guards against admission by the route's rank alone.

        Load: requests of two customers for one route, which admits only the ranks of the first.
        """
        self.runner.level.level = 3.0
        self.entry.gate.levels.record("order", "n", 3.0)
        for key, admitted in ((b"goldkey", 20), (KEY, 2)):
            self.sent.clear()
            for _ in range(20):
                self.send(key, "/order/")
            self.assertEqual(len(self.sent), admitted)
        self.assertEqual(self.tokens.returned, ["pulo780"] * 18)

    def test_public_route_needs_no_key(self):
        """Guards against refused public requests, and a known customer that is not named."""
        for key, name in ((None, ""), (b"other", ""), (KEY, "pulo780")):
            self.send(key, "/open/")
            self.assertEqual(self.sent[-1].customer, name)
            self.assertEqual(b"tenant" in self.sent[-1].head, bool(name))

    def test_without_customers_no_key_is_needed(self):
        """Guards against a 401 in a deployment without customers."""
        self.apply(None)
        self.send(None)
        self.assertEqual((self.sent[-1].customer, self.sent[-1].rank), ("", 2))

    def test_calls_have_customer_and_rank_of_their_parent(self):
        """Guards against calls that are refused, charged or told a customer without its key."""
        for parent in ("pulo780", "removed", ""):
            self.parents.begin(RunningRequest("order", 3, 1e12, False, "r1", parent))
            for key, header in ((None, b""), (b"other", b""), (b"goldkey", b"tenant: gold\r\n")):
                self.send(key, request_id=b"r1.1")
                message = self.sent[-1]
                self.assertEqual((message.customer, message.rank), (parent, 3))
                self.assertEqual(message.head, b"GET / HTTP/1.1\r\n" + header)
        self.assertEqual(self.tokens.taken, [])

    def test_request_over_the_quota(self):
        """Guards against a refusal that does not say when to come back, or spends a token."""
        self.tokens.wait = TokenWait(0.4, is_used_up=True)
        status, head = self.status(self.send(KEY))
        self.assertEqual(status, 429)
        seconds = float(head.removeprefix(b"retry-after: "))
        self.assertTrue(0.2 <= seconds <= 0.6)
        self.assertEqual((self.sent, self.tokens.returned), ([], []))
        self.assertEqual(self.entry.statistics.customer_answers, {"pulo780": {"quota": 1}})

    def test_request_while_the_quota_is_not_known(self):
        """Guards against a customer within its limit that is told that it is over it."""
        self.tokens.wait = TokenWait(0.4, is_used_up=False)
        status, head = self.status(self.send(KEY))
        self.assertEqual(status, 503)
        self.assertTrue(head.startswith(b"retry-after: "))
        self.assertEqual((self.sent, self.tokens.returned), ([], []))
        answers = {"pulo780": {"quota_unknown": 1}}
        self.assertEqual(self.entry.statistics.customer_answers, answers)

    def test_tokens_of_requests_that_reached_no_backend_server_return(self):
        """Guards against a quota used up by refusals, and tokens returned for requests that ran."""
        refusal = Refusal("admission_level", 0.0, 0.1)
        with patch.object(self.entry.gate, "check", return_value=refusal):
            self.assertEqual(self.status(self.send(KEY))[0], 503)
        self.assertEqual(self.tokens.returned, ["pulo780"])
        for result, reason, status, returned in (
            (RESULT_NOT_RUN, "expired", 0, 1),
            (RESULT_NOT_RUN, "backend_refused", 0, 0),
            (RESULT_ANSWERED, "", 200, 0),
            (RESULT_ANSWERED, "", 500, 0),
        ):
            with self.subTest(reason=reason, status=status):
                self.tokens.returned.clear()
                request = self.send(KEY)
                self.reply(result, reason, status)
                self.assertIsNotNone(self.status(request))
                self.assertEqual(len(self.tokens.returned), returned)

    def test_tokens_of_cancelled_and_abandoned_requests(self):
        """Guards against a returned token although the backend server may have the request."""
        for has_run, returned in ((False, 1), (True, 0)):
            self.links.has_run_locally.return_value = has_run
            for end in (lambda request: request.cancel(), lambda _: self.entry.abandon_all()):
                self.tokens.returned.clear()
                end(self.send(KEY))
                self.assertEqual(len(self.tokens.returned), returned)

    def test_removed_key_does_not_end_requests_that_were_accepted(self):
        """Guards against a failed request whose key was valid when the request was complete."""
        request = self.send(KEY)
        self.apply({"gold": TENANTS["gold"]}, 2)
        self.assertEqual(self.status(self.send(KEY))[0], 401)
        self.reply(RESULT_NOT_RUN, "other_process")
        self.assertEqual(self.status(request)[0], 503)


class ReportingTest(TestCase):
    """Metrics and explanations of customers."""

    def test_small_customers_share_a_label(self):
        """Guards against as many time series as there are customers."""
        answers = {f"c{size}": {"answered": size} for size in range(1, 24)}
        labelled = labelled_answers(answers)
        self.assertEqual(len(labelled), 21)
        self.assertEqual(labelled[("c4", "answered")], 4)
        self.assertEqual(labelled[(OTHERS, "answered")], 6)

    def test_explanation_names_customer_and_version(self):
        """Guards against a refusal that an operator cannot relate to customer and key change."""
        fields = {"request_id": "r1", "status": 429, "reason": "quota", "customer": "pulo780"}
        line = LogLine(1.0, "n1", "request_refused", {**fields, "configuration_version": 7})
        self.assertEqual(
            explain_request("r1", [line]).verdict,
            "429 at n1, never sent: its customer had used up its quota "
            "(customer pulo780, configuration version 7)",
        )
