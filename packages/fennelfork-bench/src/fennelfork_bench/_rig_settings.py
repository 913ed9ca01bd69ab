"""Writes the settings file of a daemon."""

import itertools
import json
from collections.abc import Mapping
from typing import Any, Final

from fennelfork_bench._rig_specs import DaemonSpec

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
    return ''.join(itertools.starmap(_table, tables.items()))


def _table(name: str, table: Mapping[str, Any]) -> str:
    # JSON's strings, numbers, booleans and flat lists are TOML's as well.
    lines = [f'[{name}]']
    for key, entry in table.items():
        lines.append(f'{key} = {json.dumps(entry)}')
    return '\n'.join((*lines, ''))
