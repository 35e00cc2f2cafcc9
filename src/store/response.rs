//! Decoding of a store's responses.

use serde::Deserialize;

use crate::contain;
use crate::http::Response;

use super::Error;

/// Decodes the JSON body of a successful response.
pub fn json<'a, T: Deserialize<'a>>(response: &'a Response) -> Result<T, Error> {
    if response.status != 200 {
        let text = String::from_utf8_lossy(&response.body).trim().to_owned();
        return Err(Error::Refused { status: response.status, text });
    }
    contain::json(&response.body).map_err(|error| Error::Unreadable(error.to_string()))
}
