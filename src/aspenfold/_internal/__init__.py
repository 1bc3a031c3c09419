"""Everything behind the command line; not a public interface."""
