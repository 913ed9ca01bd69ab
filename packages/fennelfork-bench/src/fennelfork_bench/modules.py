"""Writes the list of modules in docs/ARCHITECTURE.md from their docstrings."""

import ast
import pathlib
import sys
from collections.abc import Iterator
from typing import Final

_ROOT: Final = pathlib.Path(__file__).parents[4]
_PAGE: Final = _ROOT / 'docs' / 'ARCHITECTURE.md'
_PACKAGES: Final = (
    'fennelfork',
    'fennelfork-daemon',
    'fennelfork-cli',
    'fennelfork-bench',
)
_START: Final = '<!-- modules -->\n'
_END: Final = '<!-- end of modules -->\n'


def page_with_modules(page: str) -> str:
    """Replace the list of modules in a page.

    Args:
        page: text with both markers in it.
    """
    head, _, rest = page.partition(_START)
    _, _, tail = rest.partition(_END)
    lists = '\n'.join(map(_package_list, _PACKAGES))
    return ''.join((head, _START, lists, _END, tail))


def main() -> None:
    """Write the page."""
    page = _PAGE.read_text(encoding='utf-8')
    _PAGE.write_text(page_with_modules(page), encoding='utf-8')
    sys.stdout.write(f'{_PAGE.name} written\n')


def _package_list(package: str) -> str:
    name = package.replace('-', '_')
    folder = _ROOT / 'packages' / package / 'src' / name
    lines = (
        f'### {package}',
        '',
        '| module | what it is |',
        '| --- | --- |',
        *_rows(folder),
        '',
    )
    return ''.join(f'{line}\n' for line in lines)


def _rows(folder: pathlib.Path) -> Iterator[str]:
    for path in sorted(folder.rglob('*.py')):
        module = '/'.join(path.relative_to(folder).with_suffix('').parts)
        source = path.read_text(encoding='utf-8')
        docstring = ast.get_docstring(ast.parse(source)) or ''
        first, _, _ = docstring.partition('\n')
        yield f'| `{module}` | {first} |'


if __name__ == '__main__':
    main()
