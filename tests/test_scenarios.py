"""Runs the scenario files, or the one that SCENARIO_FILE names."""

import os
from pathlib import Path

from pytest_bdd import scenarios

scenarios(
    os.environ.get('SCENARIO_FILE', str(Path(__file__).parent / 'scenarios'))
)
