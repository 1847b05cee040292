"""The process that callers reach: admission, choice, relay, retries."""
