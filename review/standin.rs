//! Small stand-ins of the users' platform for the scripts of this review, with the standard library only:
//! the platform's store, samplers, clients, and the node processes under test. Each case names its own faults.

#![allow(dead_code, reason = "each case uses a part of the stand-ins")]

#[path = "standin_http.rs"]
pub mod http;
#[path = "standin_json.rs"]
pub mod json;
#[path = "standin_node.rs"]
pub mod node;
#[path = "standin_record.rs"]
pub mod record;
#[path = "standin_sampler.rs"]
pub mod sampler;
#[path = "standin_store.rs"]
pub mod store;

/// Returns whether the case is to run with its disruption; `TROUBLE=0` leaves the disruption out.
pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

/// Returns the Unix time in milliseconds.
pub fn unix_ms() -> u64 {
    let elapsed = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    elapsed.map_or(0, |elapsed| elapsed.as_millis() as u64)
}

/// Returns the standard Base64 text of some bytes, with padding.
pub fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let word = chunk
            .iter()
            .fold(0_u32, |word, byte| word << 8 | u32::from(*byte));
        let word = word << (8 * (3 - chunk.len()));
        for index in 0..4 {
            match index <= chunk.len() {
                true => text.push(char::from(DIGITS[(word >> (18 - 6 * index) & 63) as usize])),
                false => text.push('='),
            }
        }
    }
    text
}
