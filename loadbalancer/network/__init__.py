"""The balancer on real sockets: everything between the sockets and the policy."""
