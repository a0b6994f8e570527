"""Discovery: the watch on the endpoint list, the timing of its requests, and its connection."""
