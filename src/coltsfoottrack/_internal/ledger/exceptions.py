"""Errors of the ledger layer."""


class LedgerError(Exception):
    """Base class for errors of the ledger layer."""


class KeysExhaustedError(LedgerError):
    """No key can be issued because the ledger has reached its limit of open records."""
