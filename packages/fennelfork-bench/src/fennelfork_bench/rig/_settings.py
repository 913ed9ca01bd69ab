"""Writes settings files of daemons and patch files of operators."""

import json
from collections.abc import Mapping, Sequence
from typing import Any, Final

from fennelfork_bench.rig._specs import DaemonSpec

Tree = Mapping[str, Any]

_ANY_PORT: Final = '127.0.0.1:0'


def settings_toml(
    spec: DaemonSpec,
    key_value: str,
    vm_list: str,
) -> str:
    """Write the settings of one daemon as TOML.

    Args:
        spec: the daemon.
        key_value: address of the key-value service.
        vm_list: address of the VM list.
    """
    tables: dict[str, dict[str, Any]] = {
        'daemon': {
            'name': spec.name,
            'region': spec.region,
            'data_centre': spec.data_centre,
        },
        'listen': {
            'caller': _ANY_PORT,
            'operator': _ANY_PORT,
            'peer': _ANY_PORT,
        },
        'platform': {
            'key_value': [key_value],
            'vm_list': vm_list,
            'key_prefix': '/fennelfork/',
        },
    }
    for name, extra in spec.tables.items():
        tables.setdefault(name, {}).update(extra)
    return write_toml(tables)


def write_toml(tree: Tree) -> str:
    """Write nested tables as TOML.

    Args:
        tree: tables, and in them strings, numbers, booleans and flat lists,
            whose JSON is TOML as well.
    """
    return '\n'.join((*_lines(tree, ()), ''))


def _lines(tree: Tree, path: Sequence[str]) -> list[str]:
    tables = {name for name, entry in tree.items() if _is_table(entry)}
    lines = []
    for plain in sorted(tree.keys() - tables):
        written = json.dumps(tree[plain])
        lines.append(f'{plain} = {written}')
    for name in sorted(tables):
        inner = (*path, name)
        title = '.'.join(inner)
        lines.append(f'[{title}]')
        lines += _lines(tree[name], inner)
    return lines


def _is_table(entry: Any) -> bool:
    return isinstance(entry, Mapping)
