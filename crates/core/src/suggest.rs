//! "Did you mean" suggestions for unknown names.

/// Greatest edit distance, in characters, at which a name is suggested.
const MAX_EDIT_DISTANCE: usize = 3;

/// Returns the known name with the smallest edit distance to `unknown`, or `None` when every name
/// differs too much to be a likely typing error.
#[must_use]
pub fn nearest_name<'a, I>(unknown: &str, known: I) -> Option<&'a str>
where
    I: IntoIterator<Item = &'a str>,
{
    known
        .into_iter()
        .map(|name| (strsim::damerau_levenshtein(unknown, name), name))
        .filter(|(distance, _)| *distance <= MAX_EDIT_DISTANCE)
        .min()
        .map(|(_, name)| name)
}
