//! Rendezvous hashing: selects the holder of a role, equally on every instance.

use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Returns the weight of `member` for `role`; the highest holds the role.
pub fn weight(role: &str, member: &str) -> u64 {
    xxh3_64_with_seed(member.as_bytes(), xxh3_64_with_seed(role.as_bytes(), 0))
}

/// Returns the member that holds `role`, or `None` without members.
pub fn holder<'a, I>(role: &str, members: I) -> Option<&'a str>
where
    I: IntoIterator<Item = &'a str>,
{
    members.into_iter().max_by_key(|m| (weight(role, m), *m))
}

/// Returns all members by descending weight: holder of `role`, then successors.
pub fn ranked<'a>(role: &str, members: &[&'a str]) -> Vec<&'a str> {
    let mut ranked = members.to_vec();
    ranked.sort_by_key(|m| std::cmp::Reverse((weight(role, m), *m)));
    ranked
}
