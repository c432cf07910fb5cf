"""Tests of ragwortpost.process, for the QUIC data path."""
