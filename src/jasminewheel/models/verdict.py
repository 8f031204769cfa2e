"""Tell whether a request may have run at its target."""

from enum import Enum


class Verdict(Enum):
    """Say what is known about a request's effect."""

    not_run = 'not-run'
    may_have_run = 'may-have-run'
    ran = 'ran'
