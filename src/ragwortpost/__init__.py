"""A layer-4 load balancer for fleets whose hardware is delivered in stages."""
