//! A pause of a whole VM: what runs behind a gate stands still while it is
//! closed, and goes on where it stood.

use std::{
    future::Future,
    pin::Pin,
    sync::{
        Arc, Mutex, PoisonError,
        atomic::{AtomicBool, Ordering},
    },
    task::{Context, Poll, Waker},
};

/// Opens and closes.
#[derive(Debug, Default)]
pub struct Gate {
    closed: AtomicBool,
    wakers: Mutex<Vec<Waker>>,
}

impl Gate {
    /// Stops everything behind the gate.
    pub fn close(&self) {
        self.closed.store(true, Ordering::SeqCst);
    }

    /// Lets it go on.
    pub fn open(&self) {
        self.closed.store(false, Ordering::SeqCst);
        let mut wakers = self.wakers.lock().unwrap_or_else(PoisonError::into_inner);
        for waker in wakers.drain(..) {
            waker.wake();
        }
    }

    /// Whether it is closed.
    #[must_use]
    pub fn is_closed(&self) -> bool {
        self.closed.load(Ordering::SeqCst)
    }

    fn wait(&self, cx: &Context<'_>) {
        let mut wakers = self.wakers.lock().unwrap_or_else(PoisonError::into_inner);
        wakers.push(cx.waker().clone());
    }

    /// Waits until the gate is open.
    pub async fn pass(&self) {
        std::future::poll_fn(|cx| {
            if self.is_closed() {
                self.wait(cx);
                return Poll::Pending;
            }
            Poll::Ready(())
        })
        .await;
    }
}

/// A future that stands still while its gate is closed.
pub struct Gated<T> {
    gate: Arc<Gate>,
    inner: Pin<Box<dyn Future<Output = T> + Send>>,
}

impl<T> Gated<T> {
    /// Puts `inner` behind `gate`.
    pub fn new(gate: Arc<Gate>, inner: impl Future<Output = T> + Send + 'static) -> Self {
        Self {
            gate,
            inner: Box::pin(inner),
        }
    }
}

impl<T> Future for Gated<T> {
    type Output = T;

    fn poll(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<T> {
        if self.gate.is_closed() {
            self.gate.wait(cx);
            return Poll::Pending;
        }
        self.inner.as_mut().poll(cx)
    }
}
