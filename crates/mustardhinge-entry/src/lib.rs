//! Data path of the database proxy: callers in, pools to targets out.
