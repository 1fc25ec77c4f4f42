//! Two sample contracts, with public demonstration tokens.

use crate::contract::CustomerContract;
use crate::digest::ContentDigest;

/// Token of the dealers in [`brannock`].
pub const BRANNOCK_TOKEN: &str = "brannock-dealer-demo";
/// Token of the brokers in [`harbour_mesh`].
pub const HARBOUR_TOKEN: &str = "harbour-broker-demo";

const BRANNOCK_JSON: &str = include_str!("samples/brannock.json");
const HARBOUR_JSON: &str = include_str!("samples/harbour-mesh.json");

/// Returns the Brannock Pellet Orders contract as JSON, as an operator would write it.
#[must_use]
pub fn brannock_json() -> String {
    with_token(BRANNOCK_JSON, BRANNOCK_TOKEN)
}

/// Returns the Harbour Mesh contract as JSON, as an operator would write it.
#[must_use]
pub fn harbour_mesh_json() -> String {
    with_token(HARBOUR_JSON, HARBOUR_TOKEN)
}

/// Returns the Brannock Pellet Orders contract, for small fleets in which ejecting a healthy
/// upstream costs more than keeping a failing one for some seconds.
///
/// # Panics
///
/// Never panics: the text is part of the program and is covered by a test.
#[must_use]
pub fn brannock() -> CustomerContract {
    CustomerContract::from_json(&brannock_json()).expect("the sample is valid")
}

/// Returns the Harbour Mesh contract, for which slow replies cost more than ejecting a healthy
/// upstream.
///
/// # Panics
///
/// Never panics: the text is part of the program and is covered by a test.
#[must_use]
pub fn harbour_mesh() -> CustomerContract {
    CustomerContract::from_json(&harbour_mesh_json()).expect("the sample is valid")
}

fn with_token(json: &str, token: &str) -> String {
    let hash = ContentDigest::of(token.as_bytes());
    json.replace("{token}", &hash.to_string())
}
