/// Two-level dissemination of load reports in a group of hosts: determines to which
/// members each member sends a report, so that all members receive it exactly once.
///
/// The members are split into about √n subgroups. The origin sends to its own subgroup
/// and to one representative in every other subgroup, which forwards the report to the
/// rest of that subgroup. A report takes n − 1 messages and two hops; epidemic gossip
/// with a fanout of 3 takes 3n messages.
#[derive(Clone, Copy, Debug)]
pub(crate) struct SpreadGroup {
    members: usize,
    subgroups: usize,
}

impl SpreadGroup {
    pub(crate) fn new(members: usize) -> Self {
        Self { members, subgroups: ((members as f64).sqrt().round() as usize).max(1) }
    }

    /// Returns the members to which `sender` sends a report of `origin`. Members are
    /// indices into the ordered list of members.
    pub(crate) fn targets(&self, sender: usize, origin: usize) -> Vec<usize> {
        let subgroup = sender % self.subgroups;
        let neighbors =
            (subgroup..self.members).step_by(self.subgroups).filter(|neighbor| *neighbor != sender);
        if sender == origin {
            let others = (0..self.subgroups).filter(|other| *other != subgroup);
            return neighbors.chain(others.map(|s| self.representative(s, origin))).collect();
        }
        let is_from_other_subgroup = subgroup != origin % self.subgroups;
        if is_from_other_subgroup && self.representative(subgroup, origin) == sender {
            return neighbors.collect();
        }
        Vec::new()
    }

    /// Returns the member of a subgroup that receives reports from origins outside of it.
    fn representative(&self, subgroup: usize, origin: usize) -> usize {
        let size = (self.members - subgroup).div_ceil(self.subgroups);
        origin / self.subgroups % size * self.subgroups + subgroup
    }
}
