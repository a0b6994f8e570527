"""The side of discovery: the watch on the endpoint list."""
