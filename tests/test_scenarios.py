"""Runs all scenario files, or only the one in ``SCENARIO_FILE``."""

import os
from pathlib import Path

from pytest_bdd import scenarios

scenarios(
    os.environ.get('SCENARIO_FILE', str(Path(__file__).parent / 'scenarios'))
)
