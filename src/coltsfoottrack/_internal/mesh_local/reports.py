"""Calls in which a backend server tells of itself."""

from typing import Any

from orjson import JSONDecodeError, loads

from coltsfoottrack._internal.mesh.exceptions import ReportError
from coltsfoottrack._internal.mesh.model import BackendReport
from coltsfoottrack._internal.mesh_local.names import BACKENDS_PATH, LEAVE, REPORT

# The fields of a report are those of BackendReport, but for the server's own name in the path.
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


def read_report(method: str, path: str, body: bytes) -> BackendReport | str:
    """Returns a report, or the name of a backend server that leaves.

    Raises ReportError if the call is neither, or a field is missing or of another type.
    """
    backend, _, action = path.removeprefix(BACKENDS_PATH).partition("/")
    if method != "POST" or not path.startswith(BACKENDS_PATH) or not backend:
        raise ReportError(f"{method} {path} is not a call of a backend server")
    if action == LEAVE:
        return backend
    if action != REPORT:
        raise ReportError(f"{method} {path} is not a call of a backend server")
    try:
        fields = loads(body)
    except JSONDecodeError as error:
        raise ReportError(f"report is not JSON: {error}") from error
    if not isinstance(fields, dict):
        raise ReportError("report is not a table")
    values: dict[str, Any] = {"backend": backend}
    for name, expected_type in _FIELD_TYPES.items():
        value = fields.get(name)
        if type(value) is not expected_type or (expected_type is int and value < 0):
            raise ReportError(f"field {name} is not a valid {expected_type.__name__}: {value!r}")
        values[name] = value
    return BackendReport(**values)
