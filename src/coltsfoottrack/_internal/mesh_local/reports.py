"""Parses the reports and leave calls of backend servers."""

from typing import Any

from orjson import JSONDecodeError, loads

from coltsfoottrack._internal.mesh.exceptions import ReportError
from coltsfoottrack._internal.mesh.model import MAX_COUNT, BackendLeave, BackendReport
from coltsfoottrack._internal.mesh_local.names import BACKENDS_PATH, LEAVE, REPORT

# The fields of a report are those of BackendReport, except the server's name, which is in the path.
_FIELD_TYPES: dict[str, type] = {
    "service": str,
    "address": str,
    "failure_domain": str,
    "slots": int,
    "draining": bool,
    "cold_ms": int,
    "number": int,
    "started_ms": int,
}


def read_report(method: str, path: str, body: bytes) -> BackendReport | BackendLeave:
    """Returns a report, or the leave of a backend server.

    Raises ReportError if the call is neither, or if a field is missing or has the wrong type.
    """
    backend, _, action = path.removeprefix(BACKENDS_PATH).partition("/")
    if method != "POST" or not path.startswith(BACKENDS_PATH) or not backend:
        raise ReportError(f"{method} {path} is neither a report nor a leave call")
    if action == LEAVE:
        return BackendLeave(backend)
    if action != REPORT:
        raise ReportError(f"{method} {path} is neither a report nor a leave call")
    try:
        fields = loads(body)
    except JSONDecodeError as error:
        raise ReportError(f"report is not JSON: {error}") from error
    if not isinstance(fields, dict):
        raise ReportError("report is not a JSON object")
    values: dict[str, Any] = {"backend": backend}
    for name, expected_type in _FIELD_TYPES.items():
        value = fields.get(name)
        if type(value) is not expected_type or (
            expected_type is int and not 0 <= value <= MAX_COUNT
        ):
            raise ReportError(f"field {name} is not a valid {expected_type.__name__}: {value!r}")
        values[name] = value
    return BackendReport(**values)
