"""Define verdicts on whether a request ran at its target."""

from enum import Enum


class Verdict(Enum):
    """Represent whether a request ran, may have run or did not run."""

    not_run = 'not-run'
    may_have_run = 'may-have-run'
    ran = 'ran'
