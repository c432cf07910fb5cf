"""Stand-ins for the systems around ragwortpost; not part of the package.

The modules of this folder surround the processes of the QUIC data path, those
of fleet/ the processes of the packet-level data path.
"""
