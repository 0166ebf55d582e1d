"""Errors of the membership layer."""


class MembershipError(Exception):
    """Base class for errors of the membership layer."""


class ForeignMessageError(MembershipError):
    """A message belongs to another cluster or protocol version."""


class MalformedMessageError(MembershipError):
    """A message cannot be decoded or has invalid fields."""


class UnsignedMessageError(ForeignMessageError):
    """A message has no valid signature of the cluster."""
