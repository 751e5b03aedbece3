"""HTTP/1.1 server and client on the event loop, for callers and targets."""
