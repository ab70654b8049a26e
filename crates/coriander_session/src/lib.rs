//! Session tokens, batons and request digests.
