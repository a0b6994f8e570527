"""The run that measures costs over the length of the endpoint list."""
