"""Runs all scenario files, or only the one in ``SCENARIO_FILE``.

The title of a feature states a guarantee, those of its scenarios the changes
and faults that may violate it. :mod:`tests.conftest` defines the steps.
"""

import os
from pathlib import Path

from pytest_bdd import scenarios

scenarios(
    os.environ.get('SCENARIO_FILE', str(Path(__file__).parent / 'scenarios'))
)
