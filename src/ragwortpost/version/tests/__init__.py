"""Tests of ragwortpost.version, for the QUIC data path."""
