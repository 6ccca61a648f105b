//! Timers of connections: for idle connections, incomplete messages, and peers that accept no
//! output.

use std::cmp::Reverse;
use std::time::Instant;

use connections::{ConnectionId, TimerAction};

use crate::{ClientHandler, ClientListener, TimerMode};

impl<H: ClientHandler> ClientListener<H> {
    /// Sets the timer of a connection, unless an earlier one is set.
    pub(crate) fn update_timer(&mut self, id: ConnectionId) {
        if self.settings.timer_mode == TimerMode::OnRequest {
            return;
        }
        let idle_timeout = self.live_limits.idle_timeout();
        let Some(connection) = self.connections.get_mut(&id) else {
            return;
        };
        let Some(expires_at) = connection.state.next_timer(idle_timeout, &self.limits) else {
            return;
        };
        if connection.timer.is_none_or(|timer| expires_at < timer) {
            connection.timer = Some(expires_at);
            self.timers.push(Reverse((expires_at, id)));
        }
    }

    /// Handles the timers that have expired.
    pub(crate) fn handle_due_timers(&mut self, handler: &mut H, now: Instant) {
        let idle_timeout = self.live_limits.idle_timeout();
        while let Some(Reverse((expires_at, id))) = self.timers.peek().copied() {
            if expires_at > now {
                return;
            }
            self.timers.pop();
            let Some(connection) = self
                .connections
                .get_mut(&id)
                .filter(|connection| connection.timer == Some(expires_at))
            else {
                continue;
            };
            connection.timer = None;
            match connection.state.due_action(idle_timeout, &self.limits, now) {
                Some(action) => self.perform_timer_action(handler, id, action, now),
                None => self.flush_and_update(id, now),
            }
        }
    }

    /// Checks the timers of all connections, for a listener with [`TimerMode::OnRequest`].
    pub fn check_all_timers(&mut self, handler: &mut H, now: Instant) {
        let idle_timeout = self.live_limits.idle_timeout();
        let due: Vec<(ConnectionId, TimerAction)> = self
            .connections
            .iter()
            .filter_map(|(id, connection)| {
                let action = connection
                    .state
                    .due_action(idle_timeout, &self.limits, now)?;
                Some((*id, action))
            })
            .collect();
        for (id, action) in due {
            self.perform_timer_action(handler, id, action, now);
        }
    }

    fn perform_timer_action(
        &mut self,
        handler: &mut H,
        id: ConnectionId,
        action: TimerAction,
        now: Instant,
    ) {
        match action {
            TimerAction::SendCloseNotice => self.send_close_notice(id, now),
            TimerAction::BeginClose => self.begin_close(handler, id, now),
            TimerAction::Disconnect => self.remove(id),
        }
    }
}
