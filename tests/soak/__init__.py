"""A randomized soak: real gateways, faults from outside, promises kept."""
