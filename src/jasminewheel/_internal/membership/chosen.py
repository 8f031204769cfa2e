"""Choose the few members that run a task for the whole fleet."""

from jasminewheel._internal.membership.membership import Membership

CHOSEN_MEMBERS = 3


def is_chosen(membership: Membership, task: str) -> bool:
    """Return whether the local member is chosen for the task."""
    chosen = membership.preferred(f'task {task}')[:CHOSEN_MEMBERS]
    own = membership.local_member.member
    return any(member.member == own for member in chosen)
