"""Open-loop load: arrival times, and streams of requests sent at these times."""
