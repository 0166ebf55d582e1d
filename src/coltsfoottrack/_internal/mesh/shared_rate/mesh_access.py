"""Access of shared rates to membership and links."""

from typing import TYPE_CHECKING

from coltsfoottrack._internal.mesh.directory import Directory
from coltsfoottrack._internal.mesh.model import Member
from coltsfoottrack._internal.schema.links_pb2 import Frame

if TYPE_CHECKING:
    from coltsfoottrack._internal.mesh.links import Links


class NodeMeshAccess:
    """Members from the directory, messages over the links."""

    def __init__(self, directory: Directory, links: "Links") -> None:
        self.directory = directory
        self.links = links

    def own(self) -> Member:
        """Returns the record of this node."""
        return self.directory.own

    def members(self) -> list[Member]:
        """Returns the records of all members that have not left, this node's own included."""
        return self.directory.known_members()

    def generation(self) -> int:
        """Returns a number that increases with each change of the set of members."""
        return self.directory.generation

    def send(self, member: Member, frame: Frame) -> None:
        """Sends a message to a member."""
        self.links.send_message(member, frame)
