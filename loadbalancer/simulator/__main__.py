"""`python -m loadbalancer.simulator`: host balancer instances on the wire, on standard input and output."""

import sys

from loadbalancer.simulator.host import main

if __name__ == "__main__":
    sys.exit(main())
