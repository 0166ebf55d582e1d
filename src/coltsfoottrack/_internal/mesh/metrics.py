"""Metrics of a mesh node, built from its statistics at each scrape."""

from math import nan
from typing import TYPE_CHECKING

from coltsfoottrack._internal.mesh.client_shortage import publish as publish_clients
from coltsfoottrack._internal.mesh.clock import current_time
from coltsfoottrack._internal.mesh.customers.customer_metrics import labelled_answers
from coltsfoottrack._internal.observability.process import resident_bytes

if TYPE_CHECKING:
    from coltsfoottrack._internal.mesh.daemon import MeshNode

METRIC_PREFIX = "coltsfoottrack_mesh"


def scrape(node: "MeshNode") -> bytes:
    """Returns all metrics in the Prometheus text format."""
    # Imported at the first scrape, so that a restarted node answers its first request sooner.
    from aioprometheus import Counter, Gauge, Histogram, Registry
    from aioprometheus.formats.text import TextFormatter

    registry = Registry()

    def counter(name: str, text: str, values: dict[tuple[tuple[str, str], ...], int]) -> None:
        collector = Counter(f"{METRIC_PREFIX}_{name}", text, registry=registry)
        for labels, value in values.items():
            collector.set(dict(labels), value)

    def gauge(name: str, text: str, value: float) -> None:
        Gauge(f"{METRIC_PREFIX}_{name}", text, registry=registry).set({}, value)

    statistics = node.statistics
    answers = {}
    for (route, reason), count in statistics.answers.items():
        answers[(("route", route), ("reason", reason))] = count
    counter("answers_total", "Answers to callers by route and reason.", answers)
    of_customers = {}
    for (customer, reason), count in labelled_answers(statistics.customer_answers).items():
        of_customers[(("customer", customer), ("reason", reason))] = count
    counter(
        "customer_answers_total",
        "Answers to requests of the largest customers, and of all others as one, by reason.",
        of_customers,
    )
    decisions = {}
    for event, count in node.log.counts.items():
        decisions[(("event", event),)] = count
    counter("decisions_total", "Decisions by kind, also those without a log line.", decisions)
    counter("requests_total", "Requests of callers and calls.", {(): statistics.requests})
    counter("repeats_total", "Requests sent to another backend server.", {(): statistics.retries})
    counter(
        "declined_total",
        "Requests returned by a member without a free slot.",
        {(): statistics.declined},
    )
    counter(
        "uneven_total",
        "Replies of members whose requests waited, or that declined, while another had room.",
        {(): node.directory.balancer.uneven},
    )
    counter(
        "log_lines_left_out_total",
        "Log lines that were left out by the bound or that nobody read.",
        {(): node.log.left_out_total + node.log.writer.dropped},
    )
    counter(
        "costly_reads_total",
        "Reads that brought many small parts of messages; such connections are read in turns.",
        {(): node.turns.costly},
    )
    rates = node.shared_rates
    counter("rate_refused_total", "Requests over a shared rate.", {(): rates.refused})
    counter(
        "rate_granted_total",
        "Tokens that this node has lent while they were scarce.",
        {(): rates.lender.granted},
    )
    counter(
        "rate_unknown_names_total",
        "Reported names that have no limit at this node.",
        {(): rates.lender.unknown_names},
    )
    gauge("rates_lent", "Shared rates that this node lends.", len(rates.lender.rates))
    gauge("running", "Requests that run at the backend server.", len(node.runner.running))
    gauge("waiting", "Requests that wait for a slot.", len(node.runner.queue))
    gauge("level", "Admission level of the backend server.", node.runner.level.level)
    gauge(
        "backend_rate_limit",
        "Requests per second that the backend server asks for, NaN if it names no limit.",
        nan if node.runner.rate.limit is None else node.runner.rate.limit,
    )
    gauge("arrivals", "Requests per second at the backend server.", node.runner.level.rate)
    capacity = node.runner.capacity
    now = current_time()
    gauge(
        "capacity",
        "Requests per second that the backend server can take, 0 if it reports no slowdown.",
        capacity.per_second(now),
    )
    gauge("slowdown", "How much longer runs take than usual.", capacity.speed.current(now))
    gauge("running_limit", "Requests that run at a time at most.", capacity.limit(now))
    gauge("configuration_version", "Version in force.", node.active_configuration.version)
    gauge(
        "configuration_age_seconds",
        "Time since the store confirmed the version in force, at this node or at one it hears.",
        node.membership.subscriptions.age(now),
    )
    gauge("members", "Known members.", len(node.directory.peers))
    gauge("backend_connections_opened", "Connections to the backend server.", node.pool.opened)
    publish_clients(node, gauge, counter)
    gauge("resident_bytes", "Resident memory.", resident_bytes())
    age = node.directory.balancer.information_age
    for name, text, histogram in (
        ("answer_seconds", "Time from a request to its answer.", statistics.latency),
        ("run_seconds", "Time of runs at the backend server.", statistics.run_time),
        ("load_age_seconds", "Age of the reported load at a choice by capacity.", age),
    ):
        collector = Histogram(
            f"{METRIC_PREFIX}_{name}", text, buckets=histogram.buckets, registry=registry
        )
        histogram.publish(collector, {})
    return TextFormatter().marshall(registry)
