"""Checks of a routing configuration before it is stored, for the commands of each format."""

from pathlib import Path

from coltsfoottrack._internal.cli.exceptions import EXIT_BAD_INPUT, EXIT_FAILED, CommandError
from coltsfoottrack._internal.cli.output import check_output, emit
from coltsfoottrack._internal.mesh.configuration import Decoder
from coltsfoottrack._internal.mesh.configuration_check import (
    EntryChange,
    Finding,
    Severity,
    differences,
    find_problems,
)
from coltsfoottrack._internal.mesh.exceptions import MeshError
from coltsfoottrack._internal.mesh.model import RoutingConfiguration


def check_routing(decode: Decoder, file: str, in_force: str, strict: str, output: str) -> None:
    """Prints what is wrong in a routing configuration and what differs from the one in force.

    ``decode`` is the decoder that the nodes use for this format. Exits with 2 if there are errors,
    and with 1 if there are warnings and ``strict`` is true. Raises CommandError if a file cannot be
    read or decoded.
    """
    check_output(output)
    configuration = _read(decode, file)
    findings = find_problems(configuration)
    changes: list[EntryChange] = []
    if in_force:
        present = _read(decode, in_force)
        if configuration.version <= present.version:
            problem = f"version {configuration.version} is not newer than {present.version}"
            findings.insert(0, Finding(Severity.ERROR, "version", problem))
        changes = differences(present, configuration)
    document = {
        "version": configuration.version,
        "findings": [finding._asdict() for finding in findings],
        "changes": [change._asdict() for change in changes],
    }
    emit(output, document, _lines(configuration, findings, changes))
    if any(finding.severity is Severity.ERROR for finding in findings):
        raise SystemExit(EXIT_BAD_INPUT)
    if findings and strict.lower() == "true":
        raise SystemExit(EXIT_FAILED)


def _read(decode: Decoder, file: str) -> RoutingConfiguration:
    """Returns a decoded configuration. Raises CommandError if it cannot be read or decoded."""
    try:
        content = Path(file).read_bytes()
    except OSError as error:
        raise CommandError(f"{file}: {error.strerror}", EXIT_BAD_INPUT) from error
    try:
        return decode(content)
    except MeshError as error:
        raise CommandError(f"{file}: {error}", EXIT_BAD_INPUT) from error


def _lines(
    configuration: RoutingConfiguration, findings: list[Finding], changes: list[EntryChange]
) -> list[str]:
    lines = [f"{finding.severity}: {finding.entry}: {finding.problem}" for finding in findings]
    lines.extend(change.line() for change in changes)
    routes = len(configuration.routes)
    lines.append(f"version {configuration.version}: {routes} routes, {len(findings)} findings")
    return lines
