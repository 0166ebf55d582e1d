"""The adapter object that the mesh node is started with."""

from coltsfoottrack._internal.mesh.daemon import Adapter
from coltsfoottrack.platform.configuration import decode_configuration
from coltsfoottrack.platform.names import HEADERS, METRICS_PATH, READY_PATH, parent_identifier
from coltsfoottrack.platform.reports import read_report
from coltsfoottrack.platform.settings import read_settings
from coltsfoottrack.platform.store import ObjectStore

ADAPTER = Adapter(
    names=HEADERS,
    decode_configuration=decode_configuration,
    open_store=ObjectStore,
    parent_identifier=parent_identifier,
    read_report=read_report,
    read_settings=read_settings,
    ready_path=READY_PATH,
    metrics_path=METRICS_PATH,
)
