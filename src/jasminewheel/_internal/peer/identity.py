"""Name a process to its peers."""

from attrs import frozen


@frozen
class PeerIdentity:
    """Hold a member's name, the incarnation of its process, and its zone."""

    member: str
    incarnation: str
    zone: str
