/// Which members of a group pass a report on, so that it reaches each member once.
///
/// The members are split into about √n parts. The origin sends to its own part and
/// to one representative in every other part, which sends to the rest of that part.
/// A report costs n − 1 messages and two hops; epidemic spreading to 3 peers costs 3n.
#[derive(Clone, Copy, Debug)]
pub(crate) struct SpreadGroup {
    members: usize,
    parts: usize,
}

impl SpreadGroup {
    pub(crate) fn new(members: usize) -> Self {
        Self { members, parts: ((members as f64).sqrt().round() as usize).max(1) }
    }

    /// Members that `sender` sends a report of `origin` to. All are indices into the
    /// ordered list of members.
    pub(crate) fn targets(&self, sender: usize, origin: usize) -> Vec<usize> {
        let part = sender % self.parts;
        let mates = (part..self.members).step_by(self.parts).filter(|mate| *mate != sender);
        if sender == origin {
            let others = (0..self.parts).filter(|other| *other != part);
            return mates.chain(others.map(|p| self.representative(p, origin))).collect();
        }
        let is_foreign = part != origin % self.parts;
        if is_foreign && self.representative(part, origin) == sender {
            return mates.collect();
        }
        Vec::new()
    }

    /// Member of a part that gets the reports of an origin outside of the part.
    fn representative(&self, part: usize, origin: usize) -> usize {
        let size = (self.members - part).div_ceil(self.parts);
        origin / self.parts % size * self.parts + part
    }
}
