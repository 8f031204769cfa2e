"""Rank members by rendezvous hashing."""

from collections.abc import Iterable

import xxhash

from jasminewheel._internal.membership.member import Member


def hash_score(subject: str, member: str) -> int:
    """Return the rendezvous hash of a member for a subject."""
    return xxhash.xxh64_intdigest(f'{subject}\0{member}'.encode())


def rank_members(subject: str, members: Iterable[Member]) -> list[Member]:
    """Return members by preference for a subject, leaving ones last."""
    return sorted(members, key=lambda one: _preference(subject, one))


def _preference(subject: str, member: Member) -> tuple[bool, int]:
    return (member.leaving, -hash_score(subject, member.member))
