"""Stand-ins of the users' platform: store, routers, upstreams, callers.

They speak the platform's protocol on loopback addresses, for the demo, the
tests and the soak.
"""
