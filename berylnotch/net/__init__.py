"""HTTP/1.1 on the event loop: callers' connections and connections to targets."""
