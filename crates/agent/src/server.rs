//! RPC server by which entries call the agent.

use std::{future::Future, sync::Arc};

use futures::StreamExt;
use tarpc::{
    context::Context,
    server::{BaseChannel, Channel},
};
use tokio::net::{TcpListener, TcpStream};
use tokio_util::sync::CancellationToken;
use yuccatrail_rpc::{
    messages::{AttemptReply, CancelRequest, ReadRequest, SubmitRequest, SyncReply, SyncRequest},
    service::Agent,
    transport,
};
use yuccatrail_runtime::accept::accept;

use crate::executor::Executor;

/// Handles the calls on one connection.
#[derive(Clone)]
struct AgentService {
    executor: Arc<Executor>,
}

impl Agent for AgentService {
    async fn sync(self, _: Context, request: SyncRequest) -> SyncReply {
        self.executor.sync(request)
    }

    async fn submit(self, _: Context, request: SubmitRequest) -> AttemptReply {
        self.executor.submit(request).await
    }

    async fn read(self, _: Context, request: ReadRequest) -> AttemptReply {
        self.executor.read(request).await
    }

    async fn cancel(self, _: Context, request: CancelRequest) -> AttemptReply {
        self.executor.cancel(&request)
    }
}

/// Accepts connections until `stop` is cancelled.
pub(crate) async fn serve(listener: TcpListener, executor: Arc<Executor>, stop: CancellationToken) {
    accept(&listener, &stop, |stream| {
        tokio::spawn(serve_connection(stream, executor.clone()));
    })
    .await;
}

async fn serve_connection(stream: TcpStream, executor: Arc<Executor>) {
    let Ok(transport) = transport::accept(stream).await else { return };
    let channel = BaseChannel::with_defaults(Box::pin(transport));
    channel.execute(AgentService { executor }.serve()).for_each(spawn).await;
}

async fn spawn(response: impl Future<Output = ()> + Send + 'static) {
    tokio::spawn(response);
}
