//! Escaping of text in HTML.

use std::fmt;

/// Displays text with the special characters of HTML escaped.
///
/// Keeps markup in customer and service names from running in the page. Names occur only in element
/// content and quoted attributes, where escaping these five characters is enough.
pub(super) struct HtmlText<'a>(pub &'a str);

impl fmt::Display for HtmlText<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for character in self.0.chars() {
            match character {
                '&' => f.write_str("&amp;")?,
                '<' => f.write_str("&lt;")?,
                '>' => f.write_str("&gt;")?,
                '"' => f.write_str("&quot;")?,
                '\'' => f.write_str("&#39;")?,
                character => fmt::Write::write_char(f, character)?,
            }
        }
        Ok(())
    }
}
