"""Protobuf schema of messages, settings and configuration, with its generated code."""
