"""Internal modules, which are no part of the public interface."""
