"""Load balancing, retries and concurrency limits of online requests."""
