mod down_hosts;
mod spread_group;
