"""``coltsfoottrack mesh status``: what the nodes of a mesh are doing now."""

from time import sleep

from fire.decorators import SetParseFn

from coltsfoottrack._internal.cli.exceptions import (
    EXIT_BAD_INPUT,
    EXIT_UNREACHABLE,
    CommandError,
)
from coltsfoottrack._internal.cli.mesh_readings import (
    NodeReading,
    RouteRates,
    growth,
    read_nodes,
    route_rates,
)
from coltsfoottrack._internal.cli.output import check_output, emit, table
from coltsfoottrack._internal.decision_log.reasons import describe

BYTES_PER_MEGABYTE = 1024 * 1024
MAX_SECONDS = 60.0


@SetParseFn(str)
def mesh_status(*addresses: str, seconds: str = "2", output: str = "text") -> None:
    """Shows load, admission level and version of each node, and what each route is answered.

    Args:
        addresses: Metrics addresses IP:PORT of the nodes.
        seconds: Time over which rates are taken, up to 60.
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
    before = read_nodes(list(addresses))
    sleep(interval)
    after = read_nodes(list(addresses))
    if all(reading.problem for reading in after):
        raise CommandError(f"no node answered: {after[0].problem}", EXIT_UNREACHABLE)
    rates = route_rates(before, after, interval)
    nodes = []
    for reading in after:
        nodes.append(
            {"address": reading.address, "values": reading.values, "problem": reading.problem}
        )
    document = {"nodes": nodes, "routes": [rate._asdict() for rate in rates]}
    emit(output, document, _node_lines(before, after, interval) + _route_lines(rates))


def _node_lines(before: list[NodeReading], after: list[NodeReading], seconds: float) -> list[str]:
    rows = []
    problems = []
    versions = set()
    for first, second in zip(before, after, strict=True):
        if second.problem:
            problems.append(f"{second.address}: {second.problem}")
            continue
        values = second.values
        versions.add(values["configuration_version"])
        grown = growth(first.values.get("requests_total", 0.0), values["requests_total"])
        rows.append(
            (
                second.address,
                f"{grown / seconds:.0f}" if not first.problem else "-",
                int(values["running"]),
                int(values["waiting"]),
                f"{values['level']:.2f}",
                int(values["configuration_version"]),
                int(values["members"]),
                int(values["resident_bytes"] / BYTES_PER_MEGABYTE),
            )
        )
    header = ("node", "requests/s", "running", "waiting", "level", "version", "members", "MB")
    lines = table(header, rows)
    lines.extend(problems)
    if len(versions) > 1:
        lines.append("configuration versions differ")
    return lines


def _route_lines(rates: list[RouteRates]) -> list[str]:
    lines = []
    for rate in rates:
        lines.append(f"{rate.route or '(no route)'}: answered {rate.answered:.1f}/s")
        for reason, number in sorted(rate.others.items()):
            lines.append(f"  not served {number:.1f}/s: {describe(reason)}")
    return lines
