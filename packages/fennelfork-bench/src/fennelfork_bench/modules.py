"""Generator of the list of folders and modules in docs/ARCHITECTURE.md.

The list has one row for each folder, from the docstring of its `__init__`,
and one row for each module outside the folders.
"""

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


def update_module_list(page: str) -> str:
    """Return a page with the current list of modules.

    Args:
        page: text of the page, with the start and end markers of the list.
    """
    head, _, rest = page.partition(_START)
    _, _, tail = rest.partition(_END)
    lists = '\n'.join(map(_format_package_list, _PACKAGES))
    return ''.join((head, _START, lists, _END, tail))


def main() -> None:
    """Update docs/ARCHITECTURE.md."""
    page = _PAGE.read_text(encoding='utf-8')
    _PAGE.write_text(update_module_list(page), encoding='utf-8')
    sys.stdout.write(f'{_PAGE.name} written\n')


def _format_package_list(package: str) -> str:
    name = package.replace('-', '_')
    folder = _ROOT / 'packages' / package / 'src' / name
    lines = (
        f'### {package}',
        '',
        '| folder or module | what it is |',
        '| --- | --- |',
        *_format_rows(folder),
        '',
    )
    return ''.join(f'{line}\n' for line in lines)


def _format_rows(folder: pathlib.Path) -> Iterator[str]:
    for package_init in sorted(folder.glob('*/__init__.py')):
        yield f'| `{package_init.parent.name}/` | {_first_line(package_init)} |'
    for module in sorted(folder.glob('*.py')):
        yield f'| `{module.stem}` | {_first_line(module)} |'


def _first_line(path: pathlib.Path) -> str:
    source = path.read_text(encoding='utf-8')
    docstring = ast.get_docstring(ast.parse(source)) or ''
    first, _, _ = docstring.partition('\n')
    return first


if __name__ == '__main__':
    main()
