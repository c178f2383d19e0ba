//! Whether a backend server's response is its own response to the request that was sent. All paths ask here: requests with
//! whole responses, scorings, streams, and batch items.

use http::StatusCode;
use shallotroute_adapter::backend::Head;

/// Returns why a response is not the server's own response to the request that was sent; `None` if it is. The request may
/// have run then, unless the response says that it was rejected.
pub(crate) fn flaw(status: StatusCode, head: &Head) -> Option<String> {
    if !head.has_matching_id {
        return Some(format!("the server answered {status} to another request"));
    }
    if head.is_encoded {
        return Some(format!("the server answered {status} with an encoded body"));
    }
    if status.is_success() && head.stamp.is_none() {
        return Some(format!(
            "the server answered {status} without its signature"
        ));
    }
    None
}
