"""Tests of the command line of the experiments."""

import sys

import pytest

from fennelfork_bench.rig._process import Rig


@pytest.mark.process
class TestMain:
    """The command `python -m fennelfork_bench NAME`."""

    def test_unknown_name_is_refused(self, rig: Rig) -> None:
        """The error message lists the known experiments."""
        command = (sys.executable, '-m', 'fennelfork_bench', 'nothing')
        process = rig.start('bench', command)
        assert process.wait(30) == 2
        output_text = process.stderr.read_text()
        assert 'unknown experiment nothing; known: ' in output_text
        assert 'demo' in output_text

    def test_prints_json(self, rig: Rig) -> None:
        """`--json` prints one JSON object on standard output."""
        command = (sys.executable, '-m', 'fennelfork_bench', 'document')
        process = rig.start('bench', (*command, '--json', '--seed', '3'))
        assert process.wait(60) == 0
        output_text = process.stdout.read_text()
        assert output_text.startswith('{"experiment": "document", "seed": 3')
