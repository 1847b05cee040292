"""Entry process: admission, load balancing, relaying and retries."""
