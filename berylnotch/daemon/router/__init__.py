"""Router process, which serves callers and follows the control state."""
