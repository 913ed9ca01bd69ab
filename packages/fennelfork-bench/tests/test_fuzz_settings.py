"""Invalid input in settings files."""

import json
from pathlib import Path

import pytest
from bench_builders_fuzz import fuzz_settings, json_values
from hypothesis import given
from hypothesis import strategies as st
from returns.pipeline import is_successful

from fennelfork_bench.rig._settings import format_settings_toml
from fennelfork_bench.rig._specs import daemon_specs
from fennelfork_daemon.settings._settings import load_settings, read_settings

_VALID = {
    'daemon': {'name': 'a', 'region': 'r', 'data_centre': 'd'},
    'listen': dict.fromkeys(('caller', 'operator', 'peer'), '127.0.0.1:0'),
    'platform': {'key_value': ['127.0.0.1:1'], 'vm_list': '127.0.0.1:2'},
    'limits': {'body_bytes': 4096},
    'timeouts': {'stop_ms': 9000, 'entry_ttl_ms': 100},
    'logs': {'level': 'info'},
}
_TEXT = format_settings_toml(*daemon_specs(1), '127.0.0.1:1', '127.0.0.1:2')


@pytest.fixture(scope='module')
def path(tmp_path_factory) -> Path:
    """Return the path of a file that each example overwrites."""
    return tmp_path_factory.mktemp('settings') / 'fennelforkd.toml'


class TestReadSettings:
    """Parsed settings are accepted, or refused with path and reason."""

    @fuzz_settings
    @given(
        table=st.sampled_from([*_VALID, 'unknown']),
        member=st.sampled_from(('name', 'caller', 'key_value', 'stop_ms', 'x')),
        changed=json_values,
    )
    def test_members(self, table, member, changed) -> None:
        """The problem of an invalid value contains the path of the value."""
        tables = _VALID | {table: {**_VALID.get(table, {}), member: changed}}
        found = read_settings(tables)
        if not is_successful(found):
            assert all(problem.path for problem in found.failure())
            assert any(table in problem.path for problem in found.failure())

    @fuzz_settings
    @given(table=st.sampled_from([*_VALID, 'unknown']), changed=json_values)
    def test_tables(self, table, changed) -> None:
        """A table of the wrong type is a problem, not an exception."""
        found = read_settings(_VALID | {table: changed})
        if not is_successful(found):
            assert all(problem.message for problem in found.failure())


class TestLoadSettings:
    """A file with arbitrary bytes is accepted or refused."""

    @fuzz_settings
    @given(
        cut=st.integers(0, len(_TEXT)),
        noise=st.binary(max_size=20) | st.text(max_size=20).map(str.encode),
    )
    def test_bytes(self, path, cut, noise) -> None:
        """Random bytes in a valid file are problems, not an exception."""
        text = _TEXT.encode()
        path.write_bytes(text[:cut] + noise + text[cut:])
        found = load_settings(path)
        if not is_successful(found):
            assert json.dumps([str(each) for each in found.failure()])
