"""``coltsfoottrack mesh status``: shows the load of the nodes and routes of a mesh."""

from time import sleep

from fire.decorators import SetParseFn

from coltsfoottrack._internal.cli.exceptions import (
    EXIT_BAD_INPUT,
    EXIT_UNREACHABLE,
    CommandError,
)
from coltsfoottrack._internal.cli.mesh_metrics import (
    NodeMetrics,
    RouteRates,
    counter_increase,
    fetch_metrics,
    mean_load_age,
    relative_loads,
    route_rates,
    total_increase,
)
from coltsfoottrack._internal.cli.output import check_output, emit, table
from coltsfoottrack._internal.decision_log.reasons import describe

BYTES_PER_MEGABYTE = 1024 * 1024
MAX_SECONDS = 60.0


@SetParseFn(str)
def mesh_status(*addresses: str, seconds: str = "2", output: str = "text") -> None:
    """Shows load, admission level and configuration version of nodes, and answers of routes.

    Args:
        addresses: Metrics addresses IP:PORT of the nodes.
        seconds: Interval over which rates are measured, up to 60.
        output: text or json.
    """
    check_output(output)
    if not addresses:
        raise CommandError("name the metrics addresses of the nodes", EXIT_BAD_INPUT)
    try:
        interval = float(seconds)
    except ValueError:
        interval = 0.0
    if not 0.0 < interval <= MAX_SECONDS:
        raise CommandError(f"--seconds must be above 0 and up to {MAX_SECONDS:.0f}", EXIT_BAD_INPUT)
    before = fetch_metrics(list(addresses))
    sleep(interval)
    after = fetch_metrics(list(addresses))
    if all(metrics.problem for metrics in after):
        raise CommandError(f"no node answered: {after[0].problem}", EXIT_UNREACHABLE)
    rates = route_rates(before, after, interval)
    nodes = []
    for metrics in after:
        nodes.append(
            {"address": metrics.address, "values": metrics.values, "problem": metrics.problem}
        )
    document = {"nodes": nodes, "routes": [rate._asdict() for rate in rates]}
    lines = _node_lines(before, after, interval)
    lines += _balance_lines(before, after, interval)
    emit(output, document, lines + _route_lines(rates))


def _node_lines(before: list[NodeMetrics], after: list[NodeMetrics], seconds: float) -> list[str]:
    rows = []
    problems = []
    versions = set()
    for earlier, later in zip(before, after, strict=True):
        if later.problem:
            problems.append(f"{later.address}: {later.problem}")
            continue
        values = later.values
        versions.add(values["configuration_version"])
        increase = counter_increase(
            earlier.values.get("requests_total", 0.0), values["requests_total"]
        )
        rows.append(
            (
                later.address,
                f"{increase / seconds:.0f}" if not earlier.problem else "-",
                int(values["running"]),
                int(values["waiting"]),
                f"{values['level']:.2f}",
                _load_text(later),
                f"{values.get('slowdown', 1.0):.2f}",
                int(values["configuration_version"]),
                int(values["members"]),
                int(values["resident_bytes"] / BYTES_PER_MEGABYTE),
            )
        )
    header = (
        *("node", "requests/s", "running", "waiting", "level", "load", "slowdown"),
        *("version", "members", "MB"),
    )
    lines = table(header, rows)
    lines.extend(problems)
    if len(versions) > 1:
        lines.append("configuration versions differ")
    return lines


def _load_text(metrics: NodeMetrics) -> str:
    loads = relative_loads([metrics])
    return f"{loads[0]:.2f}" if loads else "-"


def _balance_lines(
    before: list[NodeMetrics], after: list[NodeMetrics], seconds: float
) -> list[str]:
    """Returns how evenly load is spread over the nodes whose capacity is known."""
    loads = relative_loads(after)
    if not loads:
        return []
    mean = sum(loads) / len(loads)
    uneven = total_increase(before, after, "uneven_total") / seconds
    lines = [
        f"load relative to capacity: highest {max(loads):.2f}, mean {mean:.2f}, "
        f"lowest {min(loads):.2f}",
        f"waited or declined while another member had room: {uneven:.1f}/s",
    ]
    age = mean_load_age(before, after)
    if age is not None:
        lines.append(f"mean age of reported loads at a choice: {age * 1000.0:.0f} ms")
    return lines


def _route_lines(rates: list[RouteRates]) -> list[str]:
    lines = []
    for rate in rates:
        lines.append(f"{rate.route or '(no route)'}: answered {rate.answered:.1f}/s")
        for reason, number in sorted(rate.others.items()):
            lines.append(f"  not served {number:.1f}/s: {describe(reason)}")
    return lines
