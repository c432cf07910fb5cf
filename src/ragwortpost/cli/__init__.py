"""The command line of the program."""

from ragwortpost.cli._launcher import main

__all__ = ['main']
