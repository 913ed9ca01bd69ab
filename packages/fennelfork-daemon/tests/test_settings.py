"""Tests of the settings of a daemon."""

import pathlib
import tomllib
from typing import Any

import attrs
import pytest
from daemon_builders_product import settings_document
from returns.result import Success

from fennelfork.placement import RoutingMode
from fennelfork_daemon._address import Address
from fennelfork_daemon.settings._settings import load_settings, read_settings
from fennelfork_daemon.settings._tables import Settings

_EXAMPLE = pathlib.Path(__file__).parents[3] / 'examples/fennelforkd.toml'


def _problem_lines(document: dict[str, Any]) -> list[str]:
    return [str(problem) for problem in read_settings(document).failure()]


class TestValidSettings:
    """Documents that pass the validation."""

    def test_reads_addresses_and_defaults(self) -> None:
        """Addresses are parsed, and absent tables have defaults."""
        settings = read_settings(settings_document()).unwrap()
        assert settings.platform.key_value == (
            Address(host='127.0.0.1', port=2379),
        )
        assert str(settings.platform.vm_list) == '127.0.0.1:2380'
        assert settings.routing.mode is RoutingMode.HOME
        assert settings.platform.key_prefix == '/fennelfork/'

    def test_reads_ipv6_address(self) -> None:
        """An IPv6 address is read and written in brackets."""
        document = settings_document(platform={'vm_list': '[::1]:9'})
        settings = read_settings(document).unwrap()
        assert settings.platform.vm_list.host == '::1'
        assert str(settings.platform.vm_list) == '[::1]:9'


class TestInvalidSettings:
    """Problems of documents with invalid values."""

    @pytest.mark.parametrize(
        ('table', 'values', 'path', 'expected_text'),
        [
            ('daemon', {'name': None}, 'daemon.name', 'is missing'),
            ('daemon', {'name': 7}, 'daemon.name', 'not a string'),
            (
                'daemon',
                {'name': 'a b'},
                'daemon.name',
                'characters that are not',
            ),
            ('listen', {'peer': 'vm1:80'}, 'listen.peer', 'no IP number'),
            ('listen', {'peer': '::1'}, 'listen.peer', 'IP number'),
            ('listen', {'peer': '1.2.3.4:x'}, 'listen.peer', 'no port'),
            ('listen', {'peer': '1.2.3.4:65536'}, 'listen.peer', 'no port'),
            ('platform', {'vm_list': '1.2.3.4:0'}, 'platform.vm_list', 'port'),
            ('platform', {'key_value': []}, 'platform.key_value', 'a list'),
            ('platform', {'key_value': 'a'}, 'platform.key_value', 'a list'),
            ('platform', {'key_prefix': 'x'}, 'platform.key_prefix', '/'),
            ('timeouts', {'idle_ms': '5s'}, 'timeouts.idle_ms', 'millisec'),
            ('timeouts', {'idle_ms': 1.5}, 'timeouts.idle_ms', 'millisec'),
            ('timeouts', {'idle_ms': True}, 'timeouts.idle_ms', 'millisec'),
            ('timeouts', {'idle_ms': 0}, 'timeouts.idle_ms', 'out of range'),
            ('timeouts', {'idle_s': 5}, 'timeouts.idle_s', 'mean idle_ms'),
            ('timeouts', {'stop_ms': 9}, 'timeouts.stop_ms', 'shorter'),
            ('limits', {'body_bytes': 1}, 'limits.body_bytes', 'range'),
            ('logs', {'format': 'xml'}, 'logs.format', 'xml'),
            ('routing', {'mode': 'both'}, 'routing.mode', 'both'),
            ('listening', {'peer': '::1'}, 'listening', 'mean listen'),
        ],
    )
    def test_reports_path_and_reason(
        self,
        table: str,
        values: dict[str, Any],
        path: str,
        expected_text: str,
    ) -> None:
        """An invalid value is reported in one line with path and reason."""
        lines = _problem_lines(settings_document(**{table: values}))
        assert len(lines) == 1
        assert lines[0].startswith(f'{path}: ')
        assert expected_text in lines[0]
        assert '; allowed: ' in lines[0]

    def test_reports_index_of_list_item(self) -> None:
        """The path of an invalid list item contains the index of the item."""
        document = settings_document(
            platform={'key_value': ['127.0.0.1:1', 'nowhere']},
        )
        assert _problem_lines(document)[0].startswith('platform.key_value[1]: ')

    def test_reports_allowed_values(self) -> None:
        """The message contains the range or the choices."""
        document = settings_document(
            timeouts={'idle_ms': -1},
            logs={'level': 'loud'},
        )
        lines = _problem_lines(document)
        assert '1 to 600000' in lines[0]
        assert '"debug" or "info"' in lines[1]

    def test_reports_all_problems(self) -> None:
        """Missing, unknown and invalid values are reported together."""
        lines = _problem_lines({'daemon': {'name': 1, 'nmae': 2}, 'limits': 7})
        assert [line.split(':')[0] for line in lines] == [
            'daemon.name',
            'daemon.region',
            'daemon.data_centre',
            'daemon.nmae',
            'listen.caller',
            'listen.operator',
            'listen.peer',
            'platform.key_value',
            'platform.vm_list',
            'limits',
        ]

    def test_rejects_duplicate_address(self) -> None:
        """Two interfaces cannot have the same fixed address."""
        document = settings_document(
            listen={'caller': '127.0.0.1:9', 'peer': '127.0.0.1:9'},
        )
        assert _problem_lines(document)[0].startswith('listen: two interfaces')


class TestExample:
    """The annotated example file."""

    def test_example_has_every_setting_and_default(self) -> None:
        """Guards against an example without a setting or with a wrong default."""
        text = _EXAMPLE.read_text(encoding='utf-8')
        document = tomllib.loads(text)
        settings = load_settings(_EXAMPLE).unwrap()
        for field in attrs.fields(Settings):
            table = getattr(settings, field.name)
            assert set(document[field.name]) == set(
                attrs.fields_dict(type(table)),
            )
            if field.default is not attrs.NOTHING:
                assert table == field.default


class TestFile:
    """Reads of settings files."""

    def test_reads_valid_file(self, tmp_path: pathlib.Path) -> None:
        """A valid file is read."""
        path = tmp_path / 'good.toml'
        path.write_text(
            '[daemon]\nname="a"\nregion="r"\ndata_centre="d"\n'
            '[listen]\ncaller="127.0.0.1:0"\noperator="127.0.0.1:0"\n'
            'peer="127.0.0.1:0"\n'
            '[platform]\nkey_value=["127.0.0.1:1"]\nvm_list="127.0.0.1:2"\n',
        )
        assert isinstance(load_settings(path), Success)

    @pytest.mark.parametrize(
        ('text', 'expected_text'),
        [(b'[daemon', 'is not TOML'), (b'\xff', 'cannot be read')],
    )
    def test_reports_invalid_file(
        self,
        text: bytes,
        expected_text: str,
        tmp_path: pathlib.Path,
    ) -> None:
        """A file that is not TOML is reported with the path of the file."""
        path = tmp_path / 'bad.toml'
        path.write_bytes(text)
        problem = load_settings(path).failure()[0]
        assert problem.path == str(path)
        assert expected_text in problem.message

    def test_reports_missing_file(self, tmp_path: pathlib.Path) -> None:
        """A missing file is reported."""
        problem = load_settings(tmp_path / 'none.toml').failure()[0]
        assert 'cannot be read' in problem.message
