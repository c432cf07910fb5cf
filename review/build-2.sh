#!/bin/bash
# Checks that the stand-ins of this review compile. They use the standard
# library only; the processes of the system come from the deploy file's build.
set -e
cd "$(dirname "$0")/.."
python3 - <<'CHECK'
import sys
from pathlib import Path

folders = ('review/standins-2', 'review/6', 'review/7', 'review/8')
for folder in folders:
    for source in Path(folder).glob('*.py'):
        compile(source.read_text(), str(source), 'exec')
if sys.version_info < (3, 11):
    sys.exit('Python 3.11 is needed')
if not Path('target/deps/ragwortpost').is_dir():
    sys.exit('the build of the deploy file comes first')
CHECK
