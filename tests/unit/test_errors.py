"""Check the messages and verdicts of errors."""

from jasminewheel.errors import BudgetError
from jasminewheel.models.verdict import Verdict


def test_remedy_is_shown():
    """The text of an error includes its remedy."""
    error = BudgetError('budget spent', remedy='raise spec.budget')
    assert str(error) == 'budget spent (raise spec.budget)'
    assert error.verdict is Verdict.not_run
