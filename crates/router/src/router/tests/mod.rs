mod down_host_tracker;
mod spread_group;
