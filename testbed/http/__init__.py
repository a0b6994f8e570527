"""The HTTP/1.1 client and the request parser of the testbed."""
