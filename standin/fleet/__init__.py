"""Stand-ins around the packet-level data path, on loopback addresses.

These are the users' platform with its store, routers, upstreams and callers.
They implement the platform's protocol, for the demo, the tests and the soak.
"""
