"""`python -m loadbalancer.simulator`: run a simulator host on standard input and output."""

import sys

from loadbalancer.simulator.host import main

if __name__ == "__main__":
    sys.exit(main())
