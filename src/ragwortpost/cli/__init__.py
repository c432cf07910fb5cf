"""The command line of the program.

The commands ``entry`` and ``agent`` run a process of the QUIC data path, and
``node`` runs one of the packet-level data path.
"""

from ragwortpost.cli._launcher import main

__all__ = ['main']
