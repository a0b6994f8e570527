"""The side of the upstreams: connection pools, and the attempts on their connections."""
