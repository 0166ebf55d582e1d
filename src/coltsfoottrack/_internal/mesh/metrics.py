"""Metrics of a mesh node, built from its statistics at each scrape."""

from math import nan
from typing import TYPE_CHECKING

from coltsfoottrack._internal.observability.process import resident_bytes

if TYPE_CHECKING:
    from coltsfoottrack._internal.mesh.daemon import MeshNode

METRIC_PREFIX = "coltsfoottrack_mesh"


def scrape(node: "MeshNode") -> bytes:
    """Returns all metrics in the Prometheus text format."""
    # Imported at the first scrape, so that a restarted node answers its first request sooner.
    from aioprometheus import Counter, Gauge, Histogram, Registry
    from aioprometheus.formats.text import TextFormatter

    from coltsfoottrack._internal.mesh.statistics import LATENCY_BUCKETS_SECONDS

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
        "log_lines_left_out_total",
        "Log lines that were left out by the bound or that nobody read.",
        {(): node.log.left_out_total + node.log.writer.dropped},
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
    gauge("configuration_version", "Version in force.", node.active_configuration.version)
    gauge("members", "Known members.", len(node.directory.peers))
    gauge("backend_connections_opened", "Connections to the backend server.", node.pool.opened)
    gauge("resident_bytes", "Resident memory.", resident_bytes())
    for name, text, histogram in (
        ("answer_seconds", "Time from a request to its answer.", statistics.latency),
        ("run_seconds", "Time of runs at the backend server.", statistics.run_time),
    ):
        collector = Histogram(
            f"{METRIC_PREFIX}_{name}", text, buckets=LATENCY_BUCKETS_SECONDS, registry=registry
        )
        histogram.publish(collector, {})
    return TextFormatter().marshall(registry)
