"""Errors of the ledger layer."""


class LedgerError(Exception):
    """Base of the errors of the ledger layer."""


class KeysExhaustedError(LedgerError):
    """No key can be issued because the ledger holds as many records as its memory allows."""
