"""Packet-level data path: forwards callers' packets to upstreams and back.

Unlike in the QUIC path, flows are opaque here: packets are encrypted end to
end, so no process can put routing information into them. The agent beside an
upstream is authoritative for the flows that the upstream holds; entries only
cache the holder of each flow.
"""
