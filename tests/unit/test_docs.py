"""Check that the pages match the tree."""

import re
from pathlib import Path

import pytest

ROOT = Path(__file__).parents[2]
PACKAGE = ROOT / 'src' / 'jasminewheel'
PAGES = sorted([ROOT / 'README.md', *(ROOT / 'docs').rglob('*.md')])
LINK = re.compile(r'\]\(([^)#:]+)(?:#[^)]*)?\)')
LISTED = re.compile(r'^\| `([a-z_.]+)` \|', re.MULTILINE)


@pytest.mark.parametrize('page', PAGES, ids=lambda page: page.name)
def test_links_lead_somewhere(page):
    """Each relative link leads to a file of the repository."""
    targets = LINK.findall(page.read_text())
    missing = [one for one in targets if not (page.parent / one).exists()]
    assert not missing


def test_architecture_lists_the_packages():
    """The table of modules lists exactly the existing packages."""
    listed = set(
        LISTED.findall((ROOT / 'docs' / 'architecture.md').read_text())
    )
    outer = {path.parent.name for path in PACKAGE.glob('*/__init__.py')}
    inner = {
        '.'.join(path.parent.parts[-2:])
        for path in PACKAGE.glob('_internal/*/__init__.py')
    }
    assert listed == (outer - {'_internal'}) | inner | {'errors'}
