//! The HTTP endpoints of trainers, below `/v1/trainers/`.

use std::{
    sync::Arc,
    time::{Duration, UNIX_EPOCH},
};

use data_encoding::HEXLOWER_PERMISSIVE;
use http::{HeaderValue, Method, Request, Response, StatusCode};
use hyper::body::Incoming;
use serde::{Deserialize, de::DeserializeOwned};
use serde_json::json;
use shallotroute_http::body::{self, Body};
use shallotroute_rollout::{
    receipt::Receipt,
    step::{Key, Specification},
};
use shallotroute_types::{name::Name, version::Version};

use crate::{
    Sampler, access,
    failure::{Failure, Result},
    service::{Announcement, Pull},
};

/// The maximum size of a request body; below the maximum frame size between nodes, since a step is
/// passed on to the owner whole.
const MAX_BODY_BYTES: usize = 16 << 20;

/// The maximum time that a pull may wait for a complete group.
const MAX_PULL_WAIT: Duration = Duration::from_secs(60);

/// The maximum number of groups in the response to a pull.
const MAX_PULL_GROUPS: usize = 256;

/// The operation that a request's method and path select, with the version or the step number.
#[derive(Clone, Debug, PartialEq, Eq)]
enum Operation {
    Announce(Version),
    Submit(u64),
    Pull(u64),
    Delete(u64),
}

/// The JSON body of a pull.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct PullBody {
    /// The bitmap of the groups that the trainer already has, in hexadecimal.
    #[serde(default)]
    receipt: String,
    version: Version,
    #[serde(default)]
    wait_ms: u64,
    max_groups: Option<usize>,
}

impl Sampler {
    /// Serves a trainer's request and returns the response, also for a request that fails.
    pub(crate) async fn respond(&self, request: Request<Incoming>) -> Response<Body> {
        let request_id = random_request_id();
        let parsed = parse_operation(request.method(), request.uri().path());
        let operation_name = match &parsed {
            Ok((_, Operation::Announce(_))) => "trainer.announce",
            Ok((_, Operation::Submit(_))) => "trainer.submit",
            Ok((_, Operation::Pull(_))) => "trainer.pull",
            Ok((_, Operation::Delete(_))) => "trainer.delete",
            Err(_) => "trainer.request",
        };
        let result = match parsed {
            Ok((trainer, operation)) => self.dispatch(request, trainer, operation).await,
            Err(failure) => Err(failure),
        };
        let mut response =
            result.unwrap_or_else(|failure| failure.response(operation_name, &request_id));
        if let Ok(value) = HeaderValue::from_str(&request_id) {
            response.headers_mut().insert("x-request-id", value);
        }
        if let Ok(value) = HeaderValue::from_str(&self.context.local.id) {
            response.headers_mut().insert("x-shallotroute-node", value);
        }
        response
    }

    async fn dispatch(
        &self,
        request: Request<Incoming>,
        trainer: Name,
        operation: Operation,
    ) -> Result<Response<Body>> {
        let snapshot = self.context.configuration.borrow().clone();
        let snapshot = snapshot
            .filter(|_| self.context.is_ready())
            .ok_or_else(|| Failure::Unavailable("the node takes no new work".to_owned()))?;
        access::authorize(request.headers(), &snapshot.set, &trainer)?;
        let trainer_object = snapshot.set.trainers.get(&trainer);
        let pool = trainer_object.ok_or(Failure::UnknownTrainer)?.pool.clone();
        match operation {
            Operation::Announce(version) => {
                let announcement = Announcement {
                    trainer,
                    version,
                    at: self.unix_ms(),
                };
                self.announce(&pool, announcement).await?;
                Ok(body::json_response(
                    StatusCode::OK,
                    &json!({ "version": version }),
                ))
            }
            Operation::Submit(step) => {
                let groups = self
                    .submit_step(&pool, Key { trainer, step }, request)
                    .await?;
                Ok(body::json_response(
                    StatusCode::OK,
                    &json!({ "groups": groups }),
                ))
            }
            Operation::Pull(step) => {
                let pull = parse_pull(Key { trainer, step }, &read_json(request).await?)?;
                let answer = self.pull(&pool, pull).await?;
                Ok(body::json_response(StatusCode::OK, &answer))
            }
            Operation::Delete(step) => {
                self.delete(&pool, Key { trainer, step }).await?;
                Ok(body::json_response(StatusCode::OK, &json!({})))
            }
        }
    }

    /// Submits the step in the request's body and returns its number of groups.
    async fn submit_step(&self, pool: &Name, key: Key, request: Request<Incoming>) -> Result<u32> {
        let specification: Specification = read_json(request).await?;
        if !specification.is_valid() {
            let reason = "the step has no or too many samples";
            return Err(Failure::Invalid(reason.to_owned()));
        }
        let groups = specification.group_count();
        self.submit(pool, key, Arc::new(specification)).await?;
        Ok(groups)
    }

    /// Returns the milliseconds since the Unix epoch.
    fn unix_ms(&self) -> u64 {
        let wall_time = self.context.clock.wall_time();
        let since_epoch = wall_time.duration_since(UNIX_EPOCH).unwrap_or_default();
        u64::try_from(since_epoch.as_millis()).unwrap_or(u64::MAX)
    }
}

fn parse_pull(key: Key, body: &PullBody) -> Result<Pull> {
    let receipt = HEXLOWER_PERMISSIVE
        .decode(body.receipt.as_bytes())
        .map_err(|error| Failure::Invalid(format!("receipt: {error}")))?;
    Ok(Pull {
        key,
        receipt: Receipt::new(receipt),
        version: body.version,
        wait_ms: body.wait_ms.min(MAX_PULL_WAIT.as_millis() as u64),
        max_groups: body
            .max_groups
            .unwrap_or(MAX_PULL_GROUPS)
            .clamp(1, MAX_PULL_GROUPS),
    })
}

fn parse_operation(method: &Method, path: &str) -> Result<(Name, Operation)> {
    let rest = path
        .strip_prefix("/v1/trainers/")
        .ok_or(Failure::NotFound)?;
    let parts: Vec<&str> = rest.split('/').collect();
    let parse_number = |text: &str| {
        text.parse::<u64>()
            .map_err(|error| Failure::Invalid(format!("{text}: {error}")))
    };
    let (trainer, operation) = match (method, parts.as_slice()) {
        (&Method::PUT, [trainer, "versions", version]) => (
            trainer,
            Operation::Announce(Version(parse_number(version)?)),
        ),
        (&Method::PUT, [trainer, "steps", step]) => {
            (trainer, Operation::Submit(parse_number(step)?))
        }
        (&Method::DELETE, [trainer, "steps", step]) => {
            (trainer, Operation::Delete(parse_number(step)?))
        }
        (&Method::POST, [trainer, "steps", step, "pull"]) => {
            (trainer, Operation::Pull(parse_number(step)?))
        }
        _ => return Err(Failure::NotFound),
    };
    Ok((Name::from(*trainer), operation))
}

async fn read_json<T: DeserializeOwned>(request: Request<Incoming>) -> Result<T> {
    let bytes = body::read_request(request.into_body(), MAX_BODY_BYTES)
        .await
        .map_err(|error| Failure::Invalid(error.to_string()))?;
    serde_json::from_slice(&bytes).map_err(|error| Failure::Invalid(error.to_string()))
}

fn random_request_id() -> String {
    use rand::RngExt;
    format!("{:032x}", rand::rng().random::<u128>())
}
