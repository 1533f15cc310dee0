mod spread_group;
