"""Adapter for nodes of a mesh without a platform."""

from functools import partial

from coltsfoottrack._internal.mesh.daemon import Adapter
from coltsfoottrack._internal.mesh_local.directory_store import DirectoryStore
from coltsfoottrack._internal.mesh_local.names import (
    HEADERS,
    METRICS_PATH,
    READY_PATH,
    parent_identifier,
)
from coltsfoottrack._internal.mesh_local.reports import read_report
from coltsfoottrack._internal.mesh_local.routes import decode_routes
from coltsfoottrack._internal.mesh_local.settings import read_settings


def local_adapter(settings_path: str) -> Adapter:
    """Returns the adapter of a node that reads the given settings file."""
    return Adapter(
        names=HEADERS,
        decode_configuration=decode_routes,
        open_store=DirectoryStore,
        parent_identifier=parent_identifier,
        read_report=read_report,
        read_settings=partial(read_settings, settings_path),
        ready_path=READY_PATH,
        metrics_path=METRICS_PATH,
    )
