"""The host list, read by elected processes and shared through peers."""
