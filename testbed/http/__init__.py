"""The HTTP/1.1 client and the request reader of the testbed."""
