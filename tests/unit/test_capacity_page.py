"""Check that the capacity page's tables follow the result files."""

from pathlib import Path

import pytest

from jasminewheel._internal.capacity.page import (
    END_MARK,
    START_MARK,
    rewrite_page,
    tables,
)
from jasminewheel._internal.capacity.slope import read_slopes

DOCS = Path(__file__).parents[2] / 'docs'


def test_page_matches_the_result_files():
    """The page shows the tables computed from the result files."""
    text = (DOCS / 'CAPACITY.md').read_text()
    shown = text.partition(START_MARK)[2].partition(END_MARK)[0]
    assert shown.strip() == tables(read_slopes(DOCS / 'capacity'))


def test_page_without_marks_is_refused(tmp_path):
    """A page without marks is refused and not modified."""
    page = tmp_path / 'page.md'
    page.write_text('no marks')
    with pytest.raises(ValueError, match='marks'):
        rewrite_page(page, read_slopes(DOCS / 'capacity'))
    assert page.read_text() == 'no marks'
