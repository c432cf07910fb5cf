"""Tests of ragwortpost.request, for the QUIC data path."""
