"""The command line of the program."""

from ragwortpost.cli._program import main

__all__ = ['main']
