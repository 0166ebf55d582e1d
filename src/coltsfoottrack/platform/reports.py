"""Parses the heartbeats and deregistrations of backend servers."""

from typing import Any

from orjson import JSONDecodeError, loads

from coltsfoottrack._internal.mesh.exceptions import ReportError
from coltsfoottrack._internal.mesh.model import MAX_COUNT, BackendLeave, BackendReport
from coltsfoottrack.platform.names import DEREGISTER, DRAINING, HEARTBEAT, INSTANCES_PATH, READY


def read_report(method: str, path: str, body: bytes) -> BackendReport | BackendLeave:
    """Returns a heartbeat, or the leave of a backend server that deregisters.

    Raises ReportError if the call is neither, or if a field is missing or has the wrong type.
    """
    target = path.split("?", 1)[0]
    if method != "POST" or not target.startswith(INSTANCES_PATH):
        raise ReportError(f"{method} {target} is neither a heartbeat nor a deregistration")
    backend, _, action = target[len(INSTANCES_PATH) :].partition("/")
    if not backend or action not in (HEARTBEAT, DEREGISTER):
        raise ReportError(f"{method} {target} is neither a heartbeat nor a deregistration")
    if action == DEREGISTER:
        return BackendLeave(backend, _start_in(body))
    try:
        fields = loads(body)
    except JSONDecodeError as error:
        raise ReportError(f"heartbeat is not JSON: {error}") from error
    if not isinstance(fields, dict):
        raise ReportError("heartbeat is not a JSON object")
    state = _string_field(fields, "state")
    if state not in (READY, DRAINING):
        raise ReportError(f"unknown state {state!r}")
    return BackendReport(
        backend=backend,
        service=_string_field(fields, "service"),
        address=_string_field(fields, "address"),
        failure_domain=_string_field(fields, "zone"),
        slots=_integer_field(fields, "slots"),
        draining=state == DRAINING,
        cold_ms=_integer_field(fields, "coldMs"),
        number=_integer_field(fields, "seq"),
        started_ms=_integer_field(fields, "born"),
    )


def _start_in(body: bytes) -> int | None:
    """Returns the start of the process that deregisters, None if the body does not tell it."""
    try:
        fields = loads(body)
    except JSONDecodeError:
        return None
    if not isinstance(fields, dict) or "born" not in fields:
        return None
    return _integer_field(fields, "born")


def _string_field(fields: dict[str, Any], name: str) -> str:
    value = fields.get(name)
    if not isinstance(value, str):
        raise ReportError(f"field {name} is not a string: {value!r}")
    return value


def _integer_field(fields: dict[str, Any], name: str) -> int:
    value = fields.get(name)
    if not isinstance(value, int) or isinstance(value, bool) or not 0 <= value <= MAX_COUNT:
        raise ReportError(f"field {name} is not an integer from 0 to {MAX_COUNT}: {value!r}")
    return value
