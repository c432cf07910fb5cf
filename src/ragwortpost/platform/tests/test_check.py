"""Tests of `ragwortpost check` with the platform's settings file.

Guards against a file with a missing or invalid field that is accepted, or
rejected without naming the cause.
"""

import json
from pathlib import Path
from typing import Final

import pytest

from ragwortpost.cli import main


class TestPlatformSettings:
    """`check` also accepts the settings file that the platform writes."""

    fields: Final = {
        'nodeName': 'side-1',
        'ip': '10.1.0.9',
        'zone': 'north',
        'listenAddrs': {
            'datagramAddr': '10.1.0.9:1',
            'readyAddr': '10.1.0.9:2',
            'outbound': '10.1.0.9:3',
        },
        'internalPortRange': [7, 9],
        'seeds': ['10.1.0.10:5'],
        'bootstrap': True,
        'limits': {'linkMbps': 1000.0},
        'bounds': {'graceS': 6},
        'platform': {'address': '10.200.1.7:8'},
        'service': 'desk',
        'app': '10.1.0.9:4',
    }

    def test_accepted(
        self, tmp_path: Path, capsys: pytest.CaptureFixture[str]
    ) -> None:
        path = tmp_path / 'settings.json'
        path.write_text(json.dumps(self.fields))
        assert main(['check', str(path)]) == 0
        printed = capsys.readouterr().out
        assert (
            printed
            == 'accepted: side-1, agent of desk, store at 10.200.1.7:8\n'
        )

    @pytest.mark.parametrize(
        ('name', 'broken', 'cause'),
        [
            ('ip', None, "field 'ip' is missing"),
            ('internalPortRange', [], 'IndexError'),
            ('platform', {'address': 'nowhere'}, 'ValueError'),
            ('seeds', 7, 'TypeError'),
        ],
    )
    def test_rejected_with_the_cause(
        self,
        tmp_path: Path,
        capsys: pytest.CaptureFixture[str],
        name: str,
        broken: object,
        cause: str,
    ) -> None:
        fields = {**self.fields, name: broken}
        if broken is None:
            fields.pop(name)
        path = tmp_path / 'settings.json'
        path.write_text(json.dumps(fields))
        assert main(['check', str(path)]) == 1
        assert cause in capsys.readouterr().out
