"""Tests of ragwortpost.connection, for the QUIC data path."""
