//! Control process of an instance: platform, peers, budgets, failover.
