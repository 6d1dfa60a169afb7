"""The path of a request, from its caller to a target and back."""
