//! Applies the authorization decision of [`shallotroute_fleet::access`] to requests for backend servers and to
//! calls about batch jobs.

use http::Request;
use shallotroute_adapter::backend;
use shallotroute_fleet::{access::Grant, route::Table};
use shallotroute_types::name::Name;

use crate::{ledger, pool::RequestBody, shared::Shared, store::Result};

/// A request for a backend server whose headers name its workspace and carry no credential.
/// [`crate::link::Sender`] sends nothing else, so that no path omits the decision.
pub(crate) struct Outgoing(Request<RequestBody>);

impl Outgoing {
    /// Creates the request that a grant allows.
    pub(crate) fn new(mut request: Request<RequestBody>, grant: &Grant) -> Self {
        backend::set_access_headers(request.headers_mut(), grant);
        Self(request)
    }

    /// Creates a request that is passed on for another node, which has decided about it and named its
    /// workspace. A node of an earlier build does not remove the credential.
    pub(crate) fn relayed(mut request: Request<RequestBody>, table: Option<&Table>) -> Self {
        if table.is_some_and(|table| table.workspaces().is_some()) {
            backend::remove_credential(request.headers_mut());
        }
        Self(request)
    }

    /// Returns the request.
    pub(crate) fn request(&self) -> &Request<RequestBody> {
        &self.0
    }

    /// Returns the request.
    pub(crate) fn into_request(self) -> Request<RequestBody> {
        self.0
    }
}

/// Returns whether a call may see or change a batch job that any node may own.
///
/// # Errors
///
/// Returns an error if the workspace of the job is unknown here and can't be read from the store, such as
/// [`crate::store::Error::NotFound`] if the job does not exist.
pub(crate) async fn may_access(shared: &Shared, job: &Name, grant: &Grant) -> Result<bool> {
    if grant.may_access_all() {
        return Ok(true);
    }
    if let Some(owned) = shared.jobs.owned(job) {
        return Ok(grant.may_access(owned.workspace.as_deref()));
    }
    if let Some(known) = shared.jobs.known_workspace(job) {
        return Ok(grant.may_access(known.as_deref()));
    }
    let stored = ledger::read_head(shared, job).await?;
    let specification = ledger::load_specification(shared, job, &stored.head).await?;
    let workspace = specification.workspace.clone();
    let may_access = grant.may_access(workspace.as_deref());
    shared.jobs.set_known_workspace(job, workspace);
    Ok(may_access)
}
