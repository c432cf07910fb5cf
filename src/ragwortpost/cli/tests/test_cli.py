"""Tests of the command line: exit codes and output.

Guards against an invalid settings file that is accepted, an error that does not
name its cause, and a failure that scripts can't detect by the exit code.
"""

from pathlib import Path

import pytest

from ragwortpost.cli import main
from ragwortpost.platform import SETTINGS_VARIABLE
from ragwortpost.process import ProcessSettings, parse_process_settings
from ragwortpost.process._process_metrics import ProcessMetrics
from ragwortpost.version import (
    InvalidValueError,
    MissingKeyError,
    SettingsError,
    UnknownKeyError,
    UnknownSectionError,
)

TREE = """[service desk]
address = 10.0.0.1:4433
slots = 2
[data-centre north]
[upstream desk/north/1]
address = 10.0.1.1:7001
slots = 3
"""
ENTRY = """[process]
role = entry
name = entry-1
data-centre = north
address = 127.0.0.1:7000
key = %s
platform = http://127.0.0.1:1
""" % ('ab' * 32)


@pytest.fixture
def tree(tmp_path: Path) -> Path:
    """Return the path of a valid settings tree."""
    path = tmp_path / 'tree.ini'
    path.write_text(TREE)
    return path


class TestSettingsCommands:
    """The commands `check` and `explain`."""

    def test_check_accepts(
        self, tree: Path, capsys: pytest.CaptureFixture[str]
    ) -> None:
        assert main(['check', str(tree)]) == 0
        assert 'accepted: 1 services, 1 upstreams' in capsys.readouterr().out

    def test_check_reports_the_line(
        self, tree: Path, capsys: pytest.CaptureFixture[str]
    ) -> None:
        tree.write_text(TREE + 'slotz = 4\n')
        assert main(['check', str(tree)]) == 1
        assert (
            'line 8: [upstream desk/north/1] slotz: unknown key'
            in capsys.readouterr().out
        )

    def test_explain_shows_levels(
        self, tree: Path, capsys: pytest.CaptureFixture[str]
    ) -> None:
        assert main(['explain', str(tree), 'desk/north/1']) == 0
        shown = capsys.readouterr().out
        assert shown.index('slots = 2 (line 3)') < shown.index(
            'slots = 3 (line 7)'
        )
        assert '  slots = 3\n' in shown

    def test_explain_rejects_an_unknown_upstream(self, tree: Path) -> None:
        assert main(['explain', str(tree), 'desk/north/9']) == 1

    def test_unreadable_file(self, tmp_path: Path) -> None:
        assert main(['check', str(tmp_path / 'absent')]) == 3

    def test_no_answer(self, tmp_path: Path) -> None:
        path = tmp_path / 'entry.ini'
        path.write_text(ENTRY)
        assert (
            main(['status', '--config', str(path), '--target', '127.0.0.1:1'])
            == 4
        )


class TestNode:
    """The command `node`, whose settings file the platform names."""

    @pytest.mark.parametrize('options', [[], ['--verbose']])
    def test_unreadable_settings_file(
        self,
        options: list[str],
        tmp_path: Path,
        monkeypatch: pytest.MonkeyPatch,
        capsys: pytest.CaptureFixture[str],
    ) -> None:
        path = tmp_path / 'absent.json'
        monkeypatch.setenv(SETTINGS_VARIABLE, str(path))
        assert main([*options, 'node']) == 3
        assert str(path) in capsys.readouterr().err

    def test_invalid_settings_file(
        self, tmp_path: Path, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        path = tmp_path / 'settings.json'
        path.write_text('{}')
        monkeypatch.setenv(SETTINGS_VARIABLE, str(path))
        assert main(['node']) == 1


class TestProcessSettings:
    """The settings file of a process is parsed."""

    def test_valid_file(self) -> None:
        settings = parse_process_settings(ENTRY.encode()).unwrap()
        assert isinstance(settings, ProcessSettings)
        assert settings.address.port == 7000

    @pytest.mark.parametrize(
        ('old', 'new', 'error'),
        [
            ('role = entry', 'role = agent', MissingKeyError),
            ('role = entry', 'role = boss', InvalidValueError),
            ('ab' * 32, 'ab', InvalidValueError),
            ('platform =', 'platfrom =', UnknownKeyError),
            ('[process]', '[proces]', UnknownSectionError),
            ('127.0.0.1:7000', '127.0.0.1', InvalidValueError),
        ],
    )
    def test_typed_errors(
        self, old: str, new: str, error: type[SettingsError]
    ) -> None:
        problem = parse_process_settings(
            ENTRY.replace(old, new).encode()
        ).unwrap_err()
        assert type(problem) is error


class TestMetrics:
    """Status fields are exported as metrics."""

    def test_fields_and_groups(self) -> None:
        metrics = ProcessMetrics(
            lambda: {'flows': 3, 'name': 'x', 'dropped.malformed': 2}
        )
        metric_values = metrics.collect()
        assert metric_values['ragwortpost.state{field=flows}'] == 3
        assert metric_values['ragwortpost.dropped{reason=malformed}'] == 2
        assert metric_values['ragwortpost.cpu_time'] > 0
