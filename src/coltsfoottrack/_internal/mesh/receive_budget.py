"""Bounds the memory that answers take while they are received."""

from typing import Protocol as Interface


class Receiver(Interface):
    """A connection on which an answer is being received."""

    def fail_too_large(self) -> None:
        """Ends the connection and fails its request."""


class ReceiveBudget:
    """Bytes of incomplete answers by connection.

    Beyond the limit the largest answer fails, so a backend server that sends without end does not
    take the memory of the other requests.
    """

    def __init__(self, limit_bytes: int) -> None:
        self.limit_bytes = limit_bytes
        self.held_bytes = 0
        self.by_receiver: dict[Receiver, int] = {}

    def add(self, receiver: Receiver, size: int) -> None:
        """Adds bytes that a connection has received."""
        self.held_bytes += size
        self.by_receiver[receiver] = self.by_receiver.get(receiver, 0) + size
        while self.held_bytes > self.limit_bytes:
            largest = max(self.by_receiver, key=self.by_receiver.__getitem__)
            self.release(largest)
            largest.fail_too_large()

    def release(self, receiver: Receiver) -> None:
        """Removes the bytes of a connection whose answer is complete or has failed."""
        self.held_bytes -= self.by_receiver.pop(receiver, 0)
