"""Errors of the membership layer."""


class MembershipError(Exception):
    """Base of the errors of the membership layer."""


class ForeignMessageError(MembershipError):
    """A message came from another cluster or another protocol version."""


class MalformedMessageError(MembershipError):
    """A message cannot be decoded or has fields that cannot be used."""


class UnsignedMessageError(ForeignMessageError):
    """A message does not prove that it comes from a process of the cluster."""
