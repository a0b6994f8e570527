"""Load: arrival times and the streams of requests that are sent at them."""
