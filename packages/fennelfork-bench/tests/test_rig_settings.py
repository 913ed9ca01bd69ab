"""Settings files that the rig generates."""

import tomllib

from fennelfork_bench.rig._settings import format_settings_toml, write_toml
from fennelfork_bench.rig._specs import daemon_specs


class TestWriteToml:
    """TOML output of nested tables."""

    def test_round_trip(self) -> None:
        """Scalars, lists and nested tables survive a round trip."""
        tree = {
            'fronts': {
                'a': {'keys': 5, 'shards': {'s0': {'list': ['x', 'y']}}},
                'b': {'keys': 6, 'share': 0.5, 'on': True},
            },
        }
        assert tomllib.loads(write_toml(tree)) == tree


class TestSettings:
    """Settings of daemons."""

    def test_tables_of_a_daemon_override_defaults(self) -> None:
        """Tables of a daemon are merged into the default tables."""
        spec = daemon_specs(2, tables={'listen': {'peer': '127.0.0.1:9'}})[1]
        read = tomllib.loads(
            format_settings_toml(spec, '127.0.0.1:1', '127.0.0.1:2')
        )
        assert read['daemon'] == {
            'name': 'vm-2',
            'region': 'region-2',
            'data_centre': 'dc-2',
        }
        assert read['listen'] == {
            'caller': '127.0.0.1:0',
            'operator': '127.0.0.1:0',
            'peer': '127.0.0.1:9',
        }
        assert read['platform']['key_value'] == ['127.0.0.1:1']
