"""Discovery: the watch on the endpoint list, and its connection."""
