"""Log numbered events, trace hops, count metrics."""
