"""Expert maps that follow the load of the last second."""
