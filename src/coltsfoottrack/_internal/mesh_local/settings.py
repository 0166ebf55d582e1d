"""Reads the settings of a node from a YAML file."""

from pathlib import Path

from coltsfoottrack._internal.mesh.model import MeshSettings, RetryBounds
from coltsfoottrack._internal.mesh.sockets import split_address
from coltsfoottrack._internal.schema.mesh_pb2 import MeshNodeSettings
from coltsfoottrack._internal.settings.exceptions import SettingsError
from coltsfoottrack._internal.settings.loader import load_file
from coltsfoottrack._internal.settings.rules import number_or_default

BYTES_PER_MEGABYTE = 1024 * 1024


def read_settings(path: str) -> MeshSettings:
    """Reads a settings file. Raises ValueError that names file, line and field if it is invalid."""
    try:
        loaded = load_file(path, MeshNodeSettings)
    except SettingsError as error:
        raise ValueError(str(error)) from error
    try:
        return from_config(loaded)
    except ValueError as error:
        raise ValueError(f"{path}: {error}") from error


def from_config(loaded: MeshNodeSettings) -> MeshSettings:
    """Returns the settings of a node. Raises ValueError if an address is not IP:PORT."""
    for name in loaded.DESCRIPTOR.fields_by_name:
        value = getattr(loaded, name)
        if name.endswith("_address") and value:
            _check_address(name, value)
    return MeshSettings(
        node=loaded.name,
        failure_domain=loaded.failure_domain,
        service=loaded.service,
        caller_address=loaded.caller_address,
        link_address=loaded.link_address,
        advertised_address=loaded.advertised_address or loaded.link_address,
        ready_address=loaded.ready_address,
        report_address=loaded.report_address,
        metrics_address=loaded.metrics_address,
        backend_address=loaded.backend_address,
        store_address=str(Path(loaded.shared_directory).resolve()),
        grace_seconds=number_or_default(loaded, "grace_seconds"),
        retries=RetryBounds(
            number_or_default(loaded, "retry_ratio"),
            number_or_default(loaded, "retry_slack"),
            number_or_default(loaded, "retry_window_seconds"),
        ),
        memory_bytes=int(number_or_default(loaded, "memory_megabytes")) * BYTES_PER_MEGABYTE,
    )


def _check_address(name: str, value: str) -> None:
    try:
        host, port = split_address(value)
    except ValueError as error:
        raise ValueError(f"{name}: {value!r} is not IP:PORT") from error
    if not host or not 0 < port < 65536:
        raise ValueError(f"{name}: {value!r} is not IP:PORT")
