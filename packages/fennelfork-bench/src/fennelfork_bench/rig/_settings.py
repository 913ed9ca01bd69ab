"""TOML files: settings of daemons and patches of operators."""

import json
from collections.abc import Mapping, Sequence
from typing import Any, Final

from fennelfork_bench.rig._specs import DaemonSpec

Tree = Mapping[str, Any]

_EPHEMERAL_ADDRESS: Final = '127.0.0.1:0'


def format_settings_toml(
    spec: DaemonSpec,
    key_value: str,
    vm_list: str,
) -> str:
    """Return the settings of one daemon as TOML.

    Args:
        spec: spec of the daemon.
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
            'caller': _EPHEMERAL_ADDRESS,
            'operator': _EPHEMERAL_ADDRESS,
            'peer': _EPHEMERAL_ADDRESS,
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
    """Return nested tables as TOML.

    Args:
        tree: nested tables of strings, numbers, booleans and flat lists, whose
            JSON representation is valid TOML.
    """
    return '\n'.join((*_format_table(tree, ()), ''))


def _format_table(tree: Tree, path: Sequence[str]) -> list[str]:
    tables = {name for name, entry in tree.items() if _is_table(entry)}
    lines = []
    for entry_name in sorted(tree.keys() - tables):
        formatted = json.dumps(tree[entry_name])
        lines.append(f'{entry_name} = {formatted}')
    for name in sorted(tables):
        table_path = (*path, name)
        title = '.'.join(table_path)
        lines.append(f'[{title}]')
        lines += _format_table(tree[name], table_path)
    return lines


def _is_table(entry: Any) -> bool:
    return isinstance(entry, Mapping)
