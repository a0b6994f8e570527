"""The client side of the proxy: the listening socket, client connections and the requests on them."""
