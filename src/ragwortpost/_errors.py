"""The base class of all errors that this package raises or returns."""


class RagwortpostError(Exception):
    """Base class of all errors; subclasses carry typed attributes."""
