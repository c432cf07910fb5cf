"""The packet-level data path: callers' packets to upstreams and back.

Unlike the QUIC interface, flows here are opaque: packets are sealed by their
two ends, so no process can put a route into them. The agent beside an upstream
is the authority over the flows that the upstream holds; entries keep a cache.
"""
