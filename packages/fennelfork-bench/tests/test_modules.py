"""Tests of the list of modules in docs/ARCHITECTURE.md."""

import pathlib

from fennelfork_bench.modules import update_module_list

_PAGE = pathlib.Path(__file__).parents[3] / 'docs/ARCHITECTURE.md'


class TestUpdateModuleList:
    """Generation of the list from the code."""

    def test_is_up_to_date(self) -> None:
        """The list is up to date; `make modules` updates the page."""
        page = _PAGE.read_text(encoding='utf-8')
        assert update_module_list(page) == page

    def test_replaces_only_the_list(self) -> None:
        """The text around the list is unchanged."""
        page = (
            'a\n<!-- modules -->\nlist of before\n<!-- end of modules -->\nb\n'
        )
        updated = update_module_list(page)
        assert updated.startswith('a\n<!-- modules -->\n### fennelfork\n')
        assert updated.endswith('<!-- end of modules -->\nb\n')
        assert 'list of before' not in updated
        assert '| `_verdict` | Failure of a request and' in updated
        assert '| `gather/` | Partitioning, coverage and' in updated
