"""JSON encoding and object paths of configuration records in the platform."""

from google.protobuf.json_format import MessageToJson, Parse, ParseError

from coltsfoottrack._internal.configuration.exceptions import UnreadableConfigurationError
from coltsfoottrack._internal.schema.coltsfoottrack_pb2 import ConfigurationRecord

CURRENT_PATH = "configuration/current"
HISTORY_PREFIX = "configuration/history/"


def encode_record(record: ConfigurationRecord) -> bytes:
    """Returns a record as JSON."""
    return MessageToJson(record, preserving_proto_field_name=True).encode("utf-8")


def decode_record(content: bytes) -> ConfigurationRecord:
    """Parses a stored record. Raises UnreadableConfigurationError if it is malformed."""
    try:
        return Parse(content, ConfigurationRecord())
    except (ParseError, UnicodeDecodeError) as error:
        raise UnreadableConfigurationError(f"configuration record: {error}") from error


def history_path(generation: int) -> str:
    """Returns the path of the object that keeps a generation in the history."""
    return f"{HISTORY_PREFIX}{generation:012d}"
