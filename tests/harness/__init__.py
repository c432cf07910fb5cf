"""In-memory substitutes for the interfaces of the QUIC data path.

They run under virtual time. :mod:`tests.test_store_reader` also uses the loop
for the packet-level data path.
"""
