"""Text form of configuration records in the platform."""

from google.protobuf.json_format import MessageToJson, Parse, ParseError

from coltsfoottrack._internal.configuration.exceptions import UnreadableConfigurationError
from coltsfoottrack._internal.schema.coltsfoottrack_pb2 import ConfigurationRecord

CURRENT_PATH = "configuration/current"
HISTORY_PREFIX = "configuration/history/"


def encode_record(record: ConfigurationRecord) -> bytes:
    """Returns the stored form of a record."""
    return MessageToJson(record, preserving_proto_field_name=True).encode("utf-8")


def decode_record(content: bytes) -> ConfigurationRecord:
    """Reads the stored form of a record. Raises UnreadableConfigurationError."""
    try:
        return Parse(content, ConfigurationRecord())
    except (ParseError, UnicodeDecodeError) as error:
        raise UnreadableConfigurationError(f"configuration record: {error}") from error


def history_path(generation: int) -> str:
    """Returns the platform path of a past generation."""
    return f"{HISTORY_PREFIX}{generation:012d}"
