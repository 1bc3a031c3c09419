"""Clock, messages and plug-in registry, shared by all packages."""
