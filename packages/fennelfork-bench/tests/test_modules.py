"""The list of modules in docs/ARCHITECTURE.md."""

import pathlib

from fennelfork_bench.modules import page_with_modules

_PAGE = pathlib.Path(__file__).parents[3] / 'docs/ARCHITECTURE.md'


class TestPageWithModules:
    """The page against the code."""

    def test_is_up_to_date(self) -> None:
        """Each folder and each module outside of one has its line; `make modules` writes them anew."""
        page = _PAGE.read_text(encoding='utf-8')
        assert page_with_modules(page) == page

    def test_replaces_only_the_list(self) -> None:
        """What stands around the list stays."""
        page = (
            'a\n<!-- modules -->\nlist of before\n<!-- end of modules -->\nb\n'
        )
        found = page_with_modules(page)
        assert found.startswith('a\n<!-- modules -->\n### fennelfork\n')
        assert found.endswith('<!-- end of modules -->\nb\n')
        assert 'list of before' not in found
        assert '| `_verdict` | Failure of a request and' in found
        assert '| `gather/` | Partitioning, coverage and' in found
