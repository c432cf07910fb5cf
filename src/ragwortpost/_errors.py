"""The base class of the package's errors."""


class RagwortpostError(Exception):
    """Base class of errors that carry typed attributes."""
