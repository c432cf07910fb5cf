"""Names that the modules of the log share."""

from typing import Final

# Logger that all modules of the data path write to.
LOGGER_NAME: Final = 'ragwortpost'
# Counter of lines that were dropped.
DROPPED_EVENT: Final = 'log line dropped'
