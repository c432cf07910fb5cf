"""Entry point of ``python -m ragwortpost``."""

import sys

from ragwortpost.cli import main

sys.exit(main())
