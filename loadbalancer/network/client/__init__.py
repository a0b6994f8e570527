"""The side of the clients: the listening socket, connections, and the requests on them."""
