"""HTTP administration API for operators, and its client."""
