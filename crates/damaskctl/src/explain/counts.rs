//! Sums over the counters that instances log from time to time. A counter starts at 0 with each
//! incarnation.

use std::collections::BTreeMap;

use super::lines::Line;

/// Code of the event of an instance's start.
const STARTED: u64 = 700;

/// Counters of one incarnation by name, as it last logged them.
type Counters = BTreeMap<String, u64>;

/// Sum of one counter over all incarnations.
#[derive(Debug, Clone, Default)]
pub(super) struct Sum {
    /// Sum over all incarnations.
    pub(super) total: u64,
    /// Number of incarnations that logged the counter.
    pub(super) incarnations: u64,
    /// Greatest count of a single incarnation, and its instance.
    pub(super) greatest: (u64, String),
}

/// Adds up the counters in the lines of an event; `prefix` is the start of their fields, such as
/// `calls=`. Each line holds all counts since the start of its incarnation, so only the last line
/// of each incarnation counts.
pub(super) fn add_up(lines: &[Line], event: u64, prefix: &str) -> BTreeMap<String, Sum> {
    let mut incarnations: Vec<(String, Counters)> = Vec::new();
    let mut running: BTreeMap<String, Counters> = BTreeMap::new();
    for line in lines {
        match line.event {
            STARTED => {
                let ended = running.remove_entry(&line.instance);
                incarnations.extend(ended);
            }
            other if other == event => {
                running.insert(line.instance.clone(), parse(line, prefix));
            }
            _ => {}
        }
    }
    incarnations.extend(running);
    let mut sums: BTreeMap<String, Sum> = BTreeMap::new();
    for (instance, counts) in incarnations {
        for (name, count) in counts {
            let sum = sums.entry(name).or_default();
            sum.total += count;
            sum.incarnations += 1;
            if count > sum.greatest.0 {
                sum.greatest = (count, instance.clone());
            }
        }
    }
    sums
}

/// Parses fields such as `calls=list targets/answered:3,probe/lost:1`. Names may contain spaces, so
/// [`Line::field`] cannot be used.
fn parse(line: &Line, prefix: &str) -> Counters {
    let text = line.fields.strip_prefix(prefix).unwrap_or("");
    let parts = text.split(',').filter_map(|part| part.rsplit_once(':'));
    parts
        .filter_map(|(name, count)| Some((name.to_owned(), count.parse().ok()?)))
        .collect()
}
