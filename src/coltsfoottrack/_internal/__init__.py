"""Private modules; only the public modules beside this package are stable."""
