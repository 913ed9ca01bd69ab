"""Files that the rig writes."""

import tomllib

from fennelfork_bench.rig._settings import settings_toml, write_toml
from fennelfork_bench.rig._specs import daemon_specs


class TestWriteToml:
    """Nested tables."""

    def test_reads_back_as_written(self) -> None:
        """Plain entries and nested tables come back from the parser."""
        tree = {
            'fronts': {
                'a': {'keys': 5, 'shards': {'s0': {'list': ['x', 'y']}}},
                'b': {'keys': 6, 'share': 0.5, 'on': True},
            },
        }
        assert tomllib.loads(write_toml(tree)) == tree


class TestSettings:
    """Settings of daemons."""

    def test_own_tables_add_to_the_common_ones(self) -> None:
        """A daemon's tables are merged into what the rig sets."""
        spec = daemon_specs(2, tables={'listen': {'peer': '127.0.0.1:9'}})[1]
        read = tomllib.loads(settings_toml(spec, '127.0.0.1:1', '127.0.0.1:2'))
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
