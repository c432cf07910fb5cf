"""Runs all scenario files, or only the one in ``SCENARIO_FILE``.

The title of a feature states a guarantee, those of its scenarios the faults
that may violate it. The steps are defined in :mod:`tests.conftest`.
"""

import os
from pathlib import Path

from pytest_bdd import scenarios

scenarios(
    os.environ.get('SCENARIO_FILE', str(Path(__file__).parent / 'scenarios'))
)
