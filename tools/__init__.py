"""Development tools: test runner, local cluster launchers and demonstration."""
