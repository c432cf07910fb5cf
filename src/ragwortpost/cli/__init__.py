"""The command line of the one program."""

from ragwortpost.cli._program import main

__all__ = ['main']
