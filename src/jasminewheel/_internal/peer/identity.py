"""Identify a process to its peers."""

from attrs import frozen


@frozen
class PeerIdentity:
    """Identify a member, the incarnation of its process, and its zone."""

    member: str
    incarnation: str
    zone: str
