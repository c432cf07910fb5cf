"""Stand-ins for the users' platform: store, routers, upstreams and callers.

They implement the platform's protocol on loopback addresses, for the demo, the
tests and the soak.
"""
