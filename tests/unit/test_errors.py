"""Check the exception tree."""

from jasminewheel.errors import BudgetError
from jasminewheel.models.verdict import Verdict


def test_remedy_is_shown():
    """A user sees how to mend the cause."""
    error = BudgetError('budget spent', remedy='raise spec.budget')
    assert str(error) == 'budget spent (raise spec.budget)'
    assert error.verdict is Verdict.not_run
