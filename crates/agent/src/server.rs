//! RPC server of the agent.

use std::{future::Future, sync::Arc, time::Duration};

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
use yuccatrail_runtime::control::SharedControl;

use crate::executor::Executor;

/// Answers the calls of one connection.
#[derive(Clone)]
pub(crate) struct Connection {
    /// Runs the attempts.
    pub(crate) executor: Arc<Executor>,
    /// Control state of the agent.
    pub(crate) control: Arc<SharedControl>,
}

impl Agent for Connection {
    async fn sync(self, _: Context, request: SyncRequest) -> SyncReply {
        self.control.adopt(request.update, "entry");
        let update = self.control.update_for(request.versions);
        SyncReply { feedback: self.executor.feedback(), update }
    }

    async fn submit(self, _: Context, request: SubmitRequest) -> AttemptReply {
        self.executor.submit(request).await
    }

    async fn read(self, _: Context, request: ReadRequest) -> AttemptReply {
        let wait = Duration::from_millis(request.wait_ms);
        self.executor.read(request.attempt, request.from_sequence, wait).await
    }

    async fn cancel(self, _: Context, request: CancelRequest) -> AttemptReply {
        self.executor.read(request.attempt, 0, Duration::ZERO).await
    }
}

/// Accepts connections until `stop` is cancelled.
pub(crate) async fn serve(listener: TcpListener, connection: Connection, stop: CancellationToken) {
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = stop.cancelled() => return,
        };
        let Ok((stream, _)) = accepted else {
            // Accepting fails when file descriptors run out; waiting lets connections close.
            tokio::time::sleep(Duration::from_millis(10)).await;
            continue;
        };
        tokio::spawn(serve_connection(stream, connection.clone()));
    }
}

async fn serve_connection(stream: TcpStream, connection: Connection) {
    let Ok(transport) = transport::accept(stream).await else { return };
    let channel = BaseChannel::with_defaults(Box::pin(transport));
    channel.execute(connection.serve()).for_each(spawn).await;
}

async fn spawn(response: impl Future<Output = ()> + Send + 'static) {
    tokio::spawn(response);
}
