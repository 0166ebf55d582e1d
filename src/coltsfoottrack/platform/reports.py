"""Translates the calls in which a backend server tells of itself."""

from typing import Any

from orjson import JSONDecodeError, loads

from coltsfoottrack._internal.mesh.exceptions import ReportError
from coltsfoottrack._internal.mesh.model import BackendReport
from coltsfoottrack.platform.names import DEREGISTER, DRAINING, HEARTBEAT, INSTANCES_PATH, READY


def read_report(method: str, path: str, body: bytes) -> BackendReport | str:
    """Returns a heartbeat, or the identifier of a backend server that leaves.

    Raises ReportError if the call is neither, or a field is missing or of another type.
    """
    target = path.split("?", 1)[0]
    if method != "POST" or not target.startswith(INSTANCES_PATH):
        raise ReportError(f"{method} {target} is not a call of a backend server")
    backend, _, action = target[len(INSTANCES_PATH) :].partition("/")
    if not backend or action not in (HEARTBEAT, DEREGISTER):
        raise ReportError(f"{method} {target} is not a call of a backend server")
    if action == DEREGISTER:
        return backend
    try:
        fields = loads(body)
    except JSONDecodeError as error:
        raise ReportError(f"heartbeat is not JSON: {error}") from error
    if not isinstance(fields, dict):
        raise ReportError("heartbeat is not a table")
    state = _string_field(fields, "state")
    if state not in (READY, DRAINING):
        raise ReportError(f"state {state!r} is not known")
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


def _string_field(fields: dict[str, Any], name: str) -> str:
    value = fields.get(name)
    if not isinstance(value, str):
        raise ReportError(f"field {name} is not a text: {value!r}")
    return value


def _integer_field(fields: dict[str, Any], name: str) -> int:
    value = fields.get(name)
    if not isinstance(value, int) or isinstance(value, bool) or value < 0:
        raise ReportError(f"field {name} is not a whole number of 0 or more: {value!r}")
    return value
